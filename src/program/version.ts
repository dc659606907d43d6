/** Version of the program, equal to the one in package.json. */
export const programVersion = '0.1.0';

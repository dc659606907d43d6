/** Version of the program. Equals the version in package.json. */
export const programVersion = '0.1.0';

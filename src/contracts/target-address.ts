/** A number from 0 to 255 without leading zeros, which some parsers read as octal. */
const octet = String.raw`(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)`;
const addressPattern = new RegExp(
	String.raw`^${octet}(?:\.${octet}){3}:([1-9]\d{0,4})$`,
);
const maximumPort = 65_535;

/** True for `host:port` with an IPv4 address and a port to which a connection can be opened. */
export function isTargetAddress(address: string): boolean {
	const port = addressPattern.exec(address)?.[1];
	return port !== undefined && Number(port) <= maximumPort;
}

/** True for `host:port` of a host, which may have a name, at which a call can be made. */
export function isHostAddress(address: string): boolean {
	return (
		/^(?:[\w.-]+|\[[\d:a-f]+]):[1-9]\d{0,4}$/i.test(address) &&
		URL.canParse(`http://${address}`)
	);
}

/* eslint-disable camelcase -- the names are those of the platform */
/** Limits of what consumers send. */
const limits = {
	header_bytes: 16_384,
	max_body_bytes: 4_194_304,
	header_ms: 3000,
	idle_ms: 15_000,
};

/** Host name of the routes. */
export const hostName = 'case.example';

/** Returns a config with routes to services without an engine. */
export function createConfig(version, {routes, services, ...rest}) {
	return {
		version,
		routes: routes.map((route) => ({
			host: hostName,
			timeout_ms: 4000,
			goal_ms: 300,
			priority: 1,
			attempts: 1,
			...route,
		})),
		services: services.map((name) => ({name, max_conns: 110})),
		limits,
		...rest,
	};
}

/** Writes a config, as the operator does. The store's answer, which is the ack, follows at once. */
export function putConfig(store, config) {
	store.put('keyed.op', 'config', config);
}

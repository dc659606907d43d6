import {err, ok, type Result} from 'neverthrow';
import {sha256} from '../../base/common/digest.js';
import {
	type Caller,
	type CallerClass,
	type FleetDocument,
	type Model,
	type Offering,
	type PlainServiceDefinition,
} from '../../contracts/fleet-document.js';
import {RequestProblem} from '../../contracts/request-problem.js';

/** A caller with its class. */
export type AuthenticatedCaller = {
	readonly caller: Caller;
	readonly callerClass: CallerClass;
};

/** An offering with the model that answers it. */
export type ResolvedOffering = {
	readonly offering: Offering;
	readonly model: Model;
};

/** Lookup tables of one revision of the document. */
export class CallerDirectory {
	private readonly callers = new Map<string, AuthenticatedCaller>();
	/** Callers by header. Holds valid keys only, so that it stays as small as the document. */
	private readonly authenticated = new Map<string, AuthenticatedCaller>();
	private readonly offerings = new Map<string, ResolvedOffering>();
	private readonly services = new Map<string, PlainServiceDefinition>();

	constructor(readonly document: FleetDocument) {
		const classes = new Map(
			document.callerClasses.map((item) => [item.name, item]),
		);
		const models = new Map(document.models.map((item) => [item.id, item]));
		for (const caller of document.callers) {
			const callerClass = classes.get(caller.class);
			if (!callerClass) {
				continue;
			}

			for (const digest of caller.keyDigests) {
				this.callers.set(digest, {caller, callerClass});
			}
		}

		for (const offering of document.offerings) {
			const model = models.get(offering.model);
			if (model) {
				this.offerings.set(offering.name, {offering, model});
			}
		}

		for (const service of document.services) {
			this.services.set(service.name, service);
		}
	}

	/** Finds the caller of an `Authorization` header. */
	authenticate(
		header: string | undefined,
	): Result<AuthenticatedCaller, RequestProblem> {
		const known =
			header === undefined
				? undefined
				: (this.authenticated.get(header) ?? this.lookUp(header));
		return known
			? ok(known)
			: err(
					new RequestProblem(
						'unauthenticated',
						'The request needs a valid key in the Authorization header.',
						'not-run',
					),
				);
	}

	/** Finds an offering that the caller may use. One that it may not use is reported as unknown, so that names do not leak. */
	findOffering(
		known: AuthenticatedCaller,
		name: string,
	): Result<ResolvedOffering, RequestProblem> {
		const offering = this.offerings.get(name);
		return offering && known.caller.offerings.includes(offering.offering.name)
			? ok(offering)
			: err(
					new RequestProblem(
						'unknown-offering',
						`There is no model "${name}" for this key.`,
						'not-run',
					),
				);
	}

	/** Lists the offerings that the caller may use. */
	listOfferings(known: AuthenticatedCaller): Offering[] {
		return known.caller.offerings.flatMap((name) => {
			const offering = this.offerings.get(name);
			return offering ? [offering.offering] : [];
		});
	}

	/** Finds a plain service that the caller may use. */
	findService(
		known: AuthenticatedCaller,
		name: string,
	): Result<PlainServiceDefinition, RequestProblem> {
		const service = this.services.get(name);
		return service && known.caller.services.includes(service.name)
			? ok(service)
			: err(
					new RequestProblem(
						'unknown-service',
						`There is no service "${name}" for this key.`,
						'not-run',
					),
				);
	}

	private lookUp(header: string): AuthenticatedCaller | undefined {
		const key = header.startsWith('Bearer ')
			? header.slice('Bearer '.length)
			: '';
		const known = key === '' ? undefined : this.callers.get(sha256(key));
		if (known) {
			this.authenticated.set(header, known);
		}

		return known;
	}
}

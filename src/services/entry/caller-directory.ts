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

/** A caller whose key was accepted, with its caller class. */
export type AuthenticatedCaller = {
	readonly caller: Caller;
	readonly callerClass: CallerClass;
};

/** An offering with the model that serves it. */
export type ResolvedOffering = {
	readonly offering: Offering;
	readonly model: Model;
};

/** Looks up callers by their keys, offerings and plain services in one revision of the document. */
export class CallerDirectory {
	private readonly callersByKeyDigest = new Map<string, AuthenticatedCaller>();
	/** Cache of callers by `Authorization` header. Only headers with a valid key are cached, so the document bounds its size. */
	private readonly callersByHeader = new Map<string, AuthenticatedCaller>();
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
				this.callersByKeyDigest.set(digest, {caller, callerClass});
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

	/** Returns the caller whose key is in the `Authorization` header, or the problem `unauthenticated`. */
	authenticate(
		header: string | undefined,
	): Result<AuthenticatedCaller, RequestProblem> {
		const authenticated =
			header === undefined
				? undefined
				: (this.callersByHeader.get(header) ?? this.findByHeader(header));
		return authenticated
			? ok(authenticated)
			: err(
					new RequestProblem(
						'unauthenticated',
						'The request requires a valid bearer key in the Authorization header.',
						'not-run',
					),
				);
	}

	/**
	 * Returns an offering that the caller may use. For any other offering, whether it exists or not, returns the problem
	 * `unknown-offering`, so that names of offerings are not disclosed.
	 */
	findOffering(
		authenticated: AuthenticatedCaller,
		name: string,
	): Result<ResolvedOffering, RequestProblem> {
		const resolved = this.offerings.get(name);
		return resolved &&
			authenticated.caller.offerings.includes(resolved.offering.name)
			? ok(resolved)
			: err(
					new RequestProblem(
						'unknown-offering',
						`No model "${name}" is available to this key.`,
						'not-run',
					),
				);
	}

	/** Returns the offerings that the caller may use. */
	listOfferings(authenticated: AuthenticatedCaller): Offering[] {
		return authenticated.caller.offerings.flatMap((name) => {
			const resolved = this.offerings.get(name);
			return resolved ? [resolved.offering] : [];
		});
	}

	/** Returns a plain service that the caller may use. For any other service returns the problem `unknown-service`. */
	findService(
		authenticated: AuthenticatedCaller,
		name: string,
	): Result<PlainServiceDefinition, RequestProblem> {
		const service = this.services.get(name);
		return service && authenticated.caller.services.includes(service.name)
			? ok(service)
			: err(
					new RequestProblem(
						'unknown-service',
						`No service "${name}" is available to this key.`,
						'not-run',
					),
				);
	}

	private findByHeader(header: string): AuthenticatedCaller | undefined {
		const key = header.startsWith('Bearer ')
			? header.slice('Bearer '.length)
			: '';
		const authenticated =
			key === '' ? undefined : this.callersByKeyDigest.get(sha256(key));
		if (authenticated) {
			this.callersByHeader.set(header, authenticated);
		}

		return authenticated;
	}
}

import {Disposable} from '../../../base/common/disposable.js';
import {TypedEvent} from '../../../base/common/typed-event.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {type TargetId} from '../../../contracts/ids.js';
import {
	type EntryRevision,
	type ListedTarget,
} from '../../../contracts/listed-target.js';
import {RevisionedMap} from '../../../core/membership/revisioned-map.js';
import {
	type PlacedContent,
	type RegisteredTarget,
	type TargetRegistry,
} from '../targets/target-registry.js';

/** Options of the fleet view. */
export type FleetViewOptions = {
	/** Name of this process. Revisions are valid together with this name only. */
	readonly name: string;
	readonly registry: TargetRegistry;
};

/** What has changed since the revision that another host has. */
export type FleetChanges = {
	readonly revision: number;
	/** True when all entries are included, so that a target without one is not listed. */
	readonly isComplete: boolean;
	readonly listed: readonly ListedTarget[];
	readonly unlisted: readonly UnlistedTarget[];
	readonly contents: readonly PlacedContent[];
};

/** A removed entry of the target list. */
export type UnlistedTarget = {
	readonly target: TargetId;
	/** The newest revision of the entry that this host has seen. */
	readonly revision: EntryRevision | undefined;
};

/** How soon other hosts should receive a change: a leaving target promptly, the load of an adapter together with others. */
export type ChangeUrgency = 'prompt' | 'combined';

/** The targets as this host knows them, with revisions, so that hosts that report to it receive only what has changed. */
export class FleetView extends Disposable {
	/** The revision has increased. */
	readonly changed = new TypedEvent<ChangeUrgency>();
	private readonly listed = new RevisionedMap<TargetId, ListedTarget>();
	private readonly contents = new RevisionedMap<
		TargetId,
		RegisteredTarget['content']
	>();

	private currentRevision = 0;
	private currentDocumentPosition = 0;
	private currentDocument: ForwardingDocument | undefined;
	private readonly subscriptions: Disposable[];

	constructor(private readonly options: FleetViewOptions) {
		super();
		const {registry} = options;
		this.subscriptions = [
			registry.changed.subscribe((target) => {
				this.applyTarget(target);
			}),
			registry.removed.subscribe(({listed}) => {
				this.applyRemoval(listed.id);
			}),
		];
	}

	/** Name of this process. */
	get name(): string {
		return this.options.name;
	}

	/** Revision of the current state. */
	get revision(): number {
		return this.currentRevision;
	}

	/** Position up to which this host read the log of the document. */
	get documentPosition(): number {
		return this.currentDocumentPosition;
	}

	/** The document in force on this host, undefined before the first one. */
	get document(): ForwardingDocument | undefined {
		return this.currentDocument;
	}

	/** Records the document in force and the position up to which this host read its log. */
	setDocument(
		position: number,
		document: ForwardingDocument | undefined,
	): void {
		if (
			position > this.currentDocumentPosition ||
			document !== this.currentDocument
		) {
			this.currentDocumentPosition = Math.max(
				position,
				this.currentDocumentPosition,
			);
			this.currentDocument = document;
			this.currentRevision++;
			this.changed.publish('prompt');
		}
	}

	/** Returns the changes since a revision of the process with the given name, or everything when that is another process. */
	changesSince(name: string, revision: number): FleetChanges {
		const known = name === this.options.name ? revision : 0;
		const isComplete = known === 0 || !this.listed.isCompleteSince(known);
		const changes = this.listed.changesSince(isComplete ? 0 : known);
		return {
			revision: this.currentRevision,
			isComplete,
			listed: changes.flatMap(({value}) => value ?? []),
			unlisted: isComplete
				? []
				: changes
						.filter(({value}) => value === undefined)
						.map(({key}) => ({
							target: key,
							revision: this.options.registry.revisionOf(key),
						})),
			contents: this.contents
				.changesSince(isComplete ? 0 : known)
				.flatMap(({key}) => this.contentOf(key) ?? []),
		};
	}

	dispose(): void {
		for (const subscription of this.subscriptions) {
			void subscription.dispose();
		}
	}

	private applyTarget(target: RegisteredTarget): void {
		const {listed, content, isContentFromOwner} = target;
		const before = this.listed.get(listed.id);
		const isListChanged = before !== listed;
		const ownerContent = isContentFromOwner ? content : undefined;
		const isContentChanged = this.contents.get(listed.id) !== ownerContent;
		if (!isListChanged && !isContentChanged) {
			return;
		}

		this.currentRevision++;
		if (isListChanged) {
			this.listed.set(listed.id, listed, this.currentRevision);
		}

		if (isContentChanged) {
			this.contents.set(listed.id, ownerContent, this.currentRevision);
		}

		const isPrompt =
			before?.isLeaving !== listed.isLeaving ||
			before.residency.incarnation !== listed.residency.incarnation;
		this.changed.publish(isPrompt ? 'prompt' : 'combined');
	}

	private applyRemoval(target: TargetId): void {
		this.currentRevision++;
		this.listed.set(target, undefined, this.currentRevision);
		this.contents.set(target, undefined, this.currentRevision);
		this.changed.publish('prompt');
	}

	private contentOf(target: TargetId): PlacedContent | undefined {
		const registered = this.options.registry.get(target);
		return registered?.isContentFromOwner
			? {
					target,
					incarnation: registered.listed.residency.incarnation,
					models: [...registered.content].map(([model, adapters]) => ({
						model,
						adapters: [...adapters],
						isRetiring: false,
					})),
				}
			: undefined;
	}
}

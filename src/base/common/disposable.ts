/** An object that holds resources until it is disposed. */
export abstract class Disposable {
	/** Releases the resources. */
	abstract dispose(): void | Promise<void>;
}

/** A collection of disposables that are disposed together, in reverse order of registration. */
export class DisposableStore extends Disposable {
	private readonly members: Disposable[] = [];
	private disposed = false;

	get isDisposed(): boolean {
		return this.disposed;
	}

	/** Registers a disposable and returns it. */
	add<T extends Disposable>(member: T): T {
		this.members.push(member);
		return member;
	}

	/** Registers a function that is called on disposal. */
	addCallback(callback: () => void | Promise<void>): void {
		this.members.push(new CallbackDisposable(callback));
	}

	/** Disposes the members one after the other. Further calls have no effect. */
	async dispose(): Promise<void> {
		if (this.disposed) {
			return;
		}

		this.disposed = true;
		for (const member of this.members.reverse()) {
			await member.dispose();
		}

		this.members.length = 0;
	}
}

/** A disposable that calls a function. */
export class CallbackDisposable extends Disposable {
	constructor(private readonly callback: () => void | Promise<void>) {
		super();
	}

	dispose(): void | Promise<void> {
		return this.callback();
	}
}

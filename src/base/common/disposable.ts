/** Something that holds a resource and releases it once. */
export abstract class Disposable {
	abstract dispose(): void | Promise<void>;
}

/** Releases its members in reverse order of registration. */
export class DisposableStore extends Disposable {
	private readonly members: Disposable[] = [];
	private disposed = false;

	get isDisposed(): boolean {
		return this.disposed;
	}

	/** Registers a member and returns it. */
	add<T extends Disposable>(member: T): T {
		this.members.push(member);
		return member;
	}

	/** Registers a function to call on disposal. */
	addCallback(callback: () => void | Promise<void>): void {
		this.members.push(new CallbackDisposable(callback));
	}

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

/** Adapts a function to a disposable. */
export class CallbackDisposable extends Disposable {
	constructor(private readonly callback: () => void | Promise<void>) {
		super();
	}

	dispose(): void | Promise<void> {
		return this.callback();
	}
}

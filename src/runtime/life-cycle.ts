/**
 * The life-cycle manager: owns resources and closes each of them once, in reverse order of their
 * registration. A resource that fails to close is reported and does not prevent closing the others.
 */

/** Closes one resource. */
export type Close<T> = (res: T) => void | Promise<void>;

interface Owned {
  readonly name: string;
  readonly close: () => void | Promise<void>;
}

/** Owns the resources of one object. */
export class LifeCycle {
  private readonly owned: Owned[] = [];
  private closing: Promise<void> | undefined;

  /** `onError` receives the error that closing a resource threw. */
  constructor(private readonly onError: (name: string, err: unknown) => void = () => undefined) {}

  /** Whether closing has started. */
  get isClosed(): boolean {
    return this.closing !== undefined;
  }

  /** Takes ownership of `res`; closes it immediately if closing has started. */
  own<T>(name: string, res: T, close: Close<T>): T {
    const owned = { name, close: () => close(res) };
    if (this.isClosed) {
      void this.closeOne(owned);
    } else {
      this.owned.push(owned);
    }
    return res;
  }

  /** Closes all owned resources, the newest first; further calls return the same promise. */
  close(): Promise<void> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<void> {
    for (const owned of this.owned.splice(0).reverse()) {
      await this.closeOne(owned);
    }
  }

  private async closeOne({ name, close }: Owned): Promise<void> {
    try {
      await close();
    } catch (err) {
      this.onError(name, err);
    }
  }
}

/**
 * The life-cycle manager: owns what must be closed, and closes it in the reverse order, each thing
 * once. What fails to close is reported and does not keep the rest open.
 */

/** How one resource is closed. */
export type Close<T> = (res: T) => void | Promise<void>;

interface Owned {
  readonly name: string;
  readonly close: () => void | Promise<void>;
}

/** Owner of the resources of one object. */
export class LifeCycle {
  private readonly owned: Owned[] = [];
  private closing: Promise<void> | undefined;

  /** `onError` gets what a resource threw as it was closed. */
  constructor(private readonly onError: (name: string, err: unknown) => void = () => undefined) {}

  /** Whether closing has begun. */
  get isClosed(): boolean {
    return this.closing !== undefined;
  }

  /** Takes ownership of `res`; closed at once where closing has begun. */
  own<T>(name: string, res: T, close: Close<T>): T {
    const owned = { name, close: () => close(res) };
    if (this.isClosed) {
      void this.closeOne(owned);
    } else {
      this.owned.push(owned);
    }
    return res;
  }

  /** Closes all that is owned, the newest first; further calls give the same promise. */
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

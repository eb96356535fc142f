/** What the platform stand-in serves: texts with versions, their history and their delay. */

/** One text under one version, as served. */
export interface ServedText {
  readonly version: number;
  readonly text: string;
}

/** Configuration texts; an older kept one can be served in place of the newest. */
export class ConfigurationTexts {
  private readonly history: ServedText[] = [];
  private pinnedVersion: number | undefined;

  /** Publishes a text. The same version may be published again with another text. */
  publish(served: ServedText): void {
    this.history.push(served);
  }

  /** Serves the newest text of `version` from now on; undefined serves the newest of all. */
  pin(version: number | undefined): void {
    if (version !== undefined && this.find(version) === undefined) {
      throw new Error(`version ${version} was never published`);
    }
    this.pinnedVersion = version;
  }

  /** Forgets every version and serves the newest document again as version 1. */
  restartFromZero(): void {
    const newest = this.history.at(-1);
    this.history.length = 0;
    this.pinnedVersion = undefined;
    if (newest !== undefined) {
      const document = JSON.parse(newest.text) as Record<string, unknown>;
      this.publish({ version: 1, text: JSON.stringify({ ...document, version: 1 }) });
    }
  }

  /** The text to serve, or undefined when nothing was published. */
  current(): ServedText | undefined {
    return this.pinnedVersion === undefined ? this.history.at(-1) : this.find(this.pinnedVersion);
  }

  private find(version: number): ServedText | undefined {
    return this.history.findLast((served) => served.version === version);
  }
}

/** Machine lists; a change becomes visible only after a lag. */
export class LaggingTexts {
  private readonly changes: { readonly served: ServedText; readonly visibleAtMs: number }[] = [];

  /** Lag of later changes, in milliseconds. */
  lagMs = 0;

  publish(served: ServedText, nowMs: number): void {
    this.changes.push({ served, visibleAtMs: nowMs + this.lagMs });
  }

  /** The newest text that is visible, or undefined when there is none. */
  current(nowMs: number): ServedText | undefined {
    return this.changes.findLast((change) => change.visibleAtMs <= nowMs)?.served;
  }
}

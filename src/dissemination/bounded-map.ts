/** A map that evicts its oldest entries, for caches whose entries can be recomputed. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  /** `capacity` is the maximum number of entries. */
  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.entries.size;
  }

  has(key: Key): boolean {
    return this.entries.has(key);
  }

  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  /** Adds or replaces an entry, which becomes the newest, and evicts the oldest one if needed. */
  set(key: Key, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.capacity) {
      return;
    }
    for (const oldest of this.entries.keys()) {
      this.entries.delete(oldest);
      return;
    }
  }

  delete(key: Key): boolean {
    return this.entries.delete(key);
  }
}

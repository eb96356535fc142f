/**
 * Order in which the queued body frames of a connection are sent: one frame of each stream in turn. Pure.
 *
 * Load: answers of hundreds of kilobytes beside small ones on a thin link. A body waits for at most one frame of each
 * other body at a time instead of everything that was queued before it.
 */

/** Body frames of one connection that are not yet passed to its socket. */
export class BodySchedule {
  /** Frames by stream, none of them empty; the stream whose turn is next comes first. */
  private readonly framesByStream = new Map<number, Buffer[]>();

  get isEmpty(): boolean {
    return this.framesByStream.size === 0;
  }

  /** Appends a frame to those of its stream; a stream without queued frames gets its turn after all others. */
  enqueue(streamId: number, frame: Buffer): void {
    const frames = this.framesByStream.get(streamId);
    if (frames === undefined) {
      this.framesByStream.set(streamId, [frame]);
    } else {
      frames.push(frame);
    }
  }

  /** Removes and returns the next frame. */
  next(): Buffer | undefined {
    const [first] = this.framesByStream;
    if (first === undefined) {
      return undefined;
    }
    const [streamId, frames] = first;
    const frame = frames.shift();
    this.framesByStream.delete(streamId);
    if (frames.length > 0) {
      this.framesByStream.set(streamId, frames);
    }
    return frame;
  }
}

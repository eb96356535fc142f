/** One socket of the peer protocol: bytes to frames and back, in order, with nothing kept per timer. */
import type { Socket } from 'node:net';
import { FrameError } from '../wire/frame-error.js';
import { FrameReader } from '../wire/frame-reader.js';

/** What a connection tells, always from the socket's events. */
export interface ConnectionListener {
  /** A whole body; it is valid during the call only. */
  onFrame(body: Buffer): void;
  /** A frame can not be taken, or `onFrame` threw this; the connection must be closed. */
  onFrameError(error: FrameError): void;
  /** Called once, at the end. */
  onClose(): void;
}

/** A socket that carries frames. */
export class Connection {
  private readonly reader: FrameReader;
  private corked = false;
  private destroyed = false;

  /** `maxFrameBytes` bounds incoming bodies until {@link allowFrames}. */
  constructor(
    private readonly socket: Socket,
    maxFrameBytes: number,
    private readonly listener: ConnectionListener,
  ) {
    this.reader = new FrameReader(maxFrameBytes);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('end', () => {
      this.checkEnd();
    });
    socket.on('error', ignoreError);
    socket.on('close', () => {
      this.destroyed = true;
      listener.onClose();
    });
  }

  /** Sets a new bound on the bodies of incoming frames, in bytes. */
  allowFrames(maxFrameBytes: number): void {
    this.reader.maxFrameBytes = maxFrameBytes;
  }

  /** Bytes written that the system has not taken yet. */
  get bufferedBytes(): number {
    return this.socket.writableLength;
  }

  /** Sends a frame; the frames of one turn of the event loop leave together. */
  write(frame: Buffer): void {
    if (this.destroyed) {
      return;
    }
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      process.nextTick(() => {
        this.corked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(frame);
  }

  /** Whether frames can be sent and will be delivered. */
  get isOpen(): boolean {
    return !this.destroyed;
  }

  /** Closes towards the peer once what was written has left, and waits for the peer to close. */
  end(): void {
    this.destroyed = true;
    this.socket.end();
  }

  /** Closes as soon as the system has taken what was written. */
  destroySoon(): void {
    this.destroyed = true;
    this.socket.destroySoon();
  }

  /** Closes at once. */
  destroy(): void {
    this.destroyed = true;
    this.socket.destroy();
  }

  private receive(chunk: Buffer): void {
    if (this.destroyed) {
      return;
    }
    try {
      this.reader.push(chunk);
      this.deliver();
    } catch (error) {
      if (!(error instanceof FrameError)) {
        throw error;
      }
      this.listener.onFrameError(error);
    }
  }

  private deliver(): void {
    let body = this.reader.next();
    while (body !== undefined) {
      this.listener.onFrame(body);
      body = this.isOpen ? this.reader.next() : undefined;
    }
  }

  private checkEnd(): void {
    if (this.isOpen && this.reader.bufferedBytes > 0) {
      this.listener.onFrameError(new FrameError('truncated', 'stream ended inside a frame'));
    }
  }
}

/** An error of the socket is followed by its close, which is what matters. */
function ignoreError(): void {
  return;
}

/** One socket of the peer protocol. Converts between bytes and frames, in order, without timers of its own. */
import type { Socket } from 'node:net';
import { FrameError } from '../wire/frame-error.js';
import { FrameReader } from '../wire/frame-reader.js';

/** Callbacks of a connection, always called from the socket's events. */
export interface ConnectionListener {
  /** Receives the body of a complete frame; the buffer is valid only during the call. */
  onFrame(body: Buffer): void;
  /** A frame is invalid, or `onFrame` threw this error; the connection must be closed. */
  onFrameError(error: FrameError): void;
  /** Called once, when the socket has closed. */
  onClose(): void;
}

/** A socket that carries frames. */
export class Connection {
  private readonly reader: FrameReader;
  private isCorked = false;
  private isClosing = false;

  /** `maxFrameBytes` limits incoming bodies until {@link setMaxFrameBytes} is called. */
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
      this.isClosing = true;
      listener.onClose();
    });
  }

  /** Sets the maximum size of the bodies of incoming frames. */
  setMaxFrameBytes(maxFrameBytes: number): void {
    this.reader.maxFrameBytes = maxFrameBytes;
  }

  /** Written bytes that the kernel has not accepted yet. */
  get bufferedBytes(): number {
    return this.socket.writableLength;
  }

  /** Sends a frame. Frames written in one turn of the event loop are sent together. */
  write(frame: Buffer): void {
    if (this.isClosing) {
      return;
    }
    if (!this.isCorked) {
      this.isCorked = true;
      this.socket.cork();
      process.nextTick(() => {
        this.isCorked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(frame);
  }

  /** Whether frames can be sent and are delivered. */
  get isOpen(): boolean {
    return !this.isClosing;
  }

  /** Closes the sending side once all written frames are sent, and waits for the peer to close. */
  end(): void {
    this.isClosing = true;
    this.socket.end();
  }

  /** Closes as soon as the kernel has accepted all written frames. */
  destroySoon(): void {
    this.isClosing = true;
    this.socket.destroySoon();
  }

  /** Closes at once. */
  destroy(): void {
    this.isClosing = true;
    this.socket.destroy();
  }

  private receive(chunk: Buffer): void {
    if (this.isClosing) {
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

/** A socket error is followed by `close`, which is handled. */
function ignoreError(): void {
  return;
}

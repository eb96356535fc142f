/** Types for the parts of js-csp 1.0.1 that ferryspool uses. */
declare module 'js-csp' {
  /** An instruction that a process yields. */
  export interface Instruction {
    readonly instruction: unique symbol;
  }

  /** A buffer of bounded size. */
  export interface ChannelBuffer<T> {
    readonly element: T;
  }

  /** A channel of values of type T. `null` cannot be put. */
  export interface Channel<T> {
    close(): void;
    isClosed(): boolean;
    /** Never present: makes channels with different element types incompatible. */
    readonly element?: T;
  }

  export const CLOSED: null;
  export const NO_VALUE: unique symbol;

  /** A generator that is suspended until the instruction it yields completes. */
  export type Process<R = void> = Generator<unknown, R, never>;

  export function go<A extends unknown[]>(
    process: (...parameters: A) => Generator<unknown, unknown, never>,
    parameters?: A,
  ): Channel<unknown>;
  export function chan<T>(bufferOrSize?: number | ChannelBuffer<T>): Channel<T>;
  export function take<T>(channel: Channel<T>): Instruction;
  export function put<T>(channel: Channel<T>, value: T): Instruction;
  export function alts(
    operations: readonly (Channel<unknown> | [Channel<unknown>, unknown])[],
    options?: { priority?: boolean; default?: unknown },
  ): Instruction;
  export function timeout(milliseconds: number): Channel<never>;
  export function sleep(milliseconds: number): Instruction;
  /** Puts without blocking; false if no process is taking and the buffer is full, or the channel is closed. */
  export function offer<T>(channel: Channel<T>, value: T): boolean;
  /** Takes without blocking; `NO_VALUE` if no value is available. */
  export function poll<T>(channel: Channel<T>): T | typeof NO_VALUE | null;
  export function putAsync<T>(
    channel: Channel<T>,
    value: T,
    callback?: (accepted: boolean) => void,
  ): void;
  export function takeAsync<T>(channel: Channel<T>, callback: (value: T | null) => void): void;

  export const buffers: {
    fixed<T>(size: number): ChannelBuffer<T>;
    dropping<T>(size: number): ChannelBuffer<T>;
    sliding<T>(size: number): ChannelBuffer<T>;
  };

  const csp: {
    CLOSED: typeof CLOSED;
    NO_VALUE: typeof NO_VALUE;
    go: typeof go;
    chan: typeof chan;
    take: typeof take;
    put: typeof put;
    alts: typeof alts;
    timeout: typeof timeout;
    sleep: typeof sleep;
    offer: typeof offer;
    poll: typeof poll;
    putAsync: typeof putAsync;
    takeAsync: typeof takeAsync;
    buffers: typeof buffers;
  };
  export default csp;
}

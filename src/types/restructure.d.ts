/** Types for the parts of `restructure` that ferryspool uses. */
declare module 'restructure' {
  /** Writes binary fields into a buffer, which must be large enough. */
  export class EncodeStream {
    constructor(buffer: Uint8Array);
    readonly buffer: Uint8Array;
    pos: number;
    writeUInt8(value: number): void;
    writeBuffer(bytes: Uint8Array): void;
  }

  /** Reads binary fields; reading a number past the end throws RangeError, reading a buffer past the end truncates it. */
  export class DecodeStream {
    constructor(buffer: Uint8Array);
    readonly buffer: Uint8Array;
    readonly length: number;
    pos: number;
    readUInt8(): number;
    readBuffer(length: number): Uint8Array;
  }

  /** Type of a field of a {@link Struct}. */
  export interface FieldType<T> {
    /** Encoded size, in bytes. */
    size(value: T, context?: unknown): number;
    encode(stream: EncodeStream, value: T, context?: unknown): void;
    decode(stream: DecodeStream, context?: unknown): T;
  }

  /** Encodes fields in the order in which they are declared. */
  export class Struct<T extends object> implements FieldType<T> {
    constructor(fields: { readonly [K in keyof T]: FieldType<T[K]> });
    size(value: T, context?: unknown): number;
    encode(stream: EncodeStream, value: T, context?: unknown): void;
    decode(stream: DecodeStream, context?: unknown): T;
  }

  export const uint8: FieldType<number>;
  export const uint16: FieldType<number>;
}

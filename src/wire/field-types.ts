/**
 * `restructure` field types for the layouts of the peer protocol. Every decoder checks lengths and counts
 * against the bytes available and throws {@link FrameError} `malformed` if they do not fit.
 */
import { isUtf8 } from 'node:buffer';
import { Struct, type DecodeStream, type EncodeStream, type FieldType } from 'restructure';
import { FrameError } from './frame-error.js';

/** Maximum length of an identity, zone, region or slot, in bytes. */
export const MAX_SHORT_TEXT_BYTES = 255;

/** Each byte of a varint carries seven bits of the number. */
const VARINT_BASE = 128;
/** Size of the largest safe integer as a varint, in bytes. */
const MAX_VARINT_BYTES = 8;
const IPV4_BYTES = 4;
/** Four numbers from 0 to 255 without leading zeros, the form in which decoding returns an address. */
const CANONICAL_IPV4 =
  /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)\.){3}(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)$/;

function malformed(detail: string): FrameError {
  return new FrameError('malformed', detail);
}

function requireInteger(value: number): void {
  if (!Number.isSafeInteger(value) || value < 0) {
    throw malformed(`${value} is not a non-negative safe integer`);
  }
}

function readBytes(stream: DecodeStream, length: number): Buffer {
  if (length > stream.length - stream.pos) {
    throw malformed(`length ${length} exceeds the ${stream.length - stream.pos} bytes left`);
  }
  const bytes = stream.buffer.subarray(stream.pos, stream.pos + length);
  stream.pos += length;
  return Buffer.from(bytes.buffer, bytes.byteOffset, length);
}

/** Integer from 0 to 2^53 - 1, seven bits per byte, least significant first (LEB128). */
export const varint: FieldType<number> = {
  size(value) {
    requireInteger(value);
    let bytes = 1;
    for (
      let remaining = value;
      remaining >= VARINT_BASE;
      remaining = Math.floor(remaining / VARINT_BASE)
    ) {
      bytes += 1;
    }
    return bytes;
  },
  encode(stream, value) {
    requireInteger(value);
    let remaining = value;
    while (remaining >= VARINT_BASE) {
      stream.writeUInt8((remaining % VARINT_BASE) + VARINT_BASE);
      remaining = Math.floor(remaining / VARINT_BASE);
    }
    stream.writeUInt8(remaining);
  },
  decode(stream) {
    let value = 0;
    let factor = 1;
    for (let count = 0; count < MAX_VARINT_BYTES; count += 1) {
      const byte = stream.readUInt8();
      value += (byte % VARINT_BASE) * factor;
      if (byte < VARINT_BASE) {
        requireInteger(value);
        return value;
      }
      factor *= VARINT_BASE;
    }
    throw malformed(`number longer than ${MAX_VARINT_BYTES} bytes`);
  },
};

/** A duration in milliseconds. Fractions are rounded up so that a delay is never shortened. */
export const durationMs: FieldType<number> = {
  size: (value) => varint.size(Math.ceil(value)),
  encode: (stream, value) => {
    varint.encode(stream, Math.ceil(value));
  },
  decode: (stream) => varint.decode(stream),
};

/** UTF-8 text of at most `maxBytes`, prefixed with its length in bytes. */
export function text(maxBytes: number): FieldType<string> {
  function lengthOf(value: string): number {
    const length = Buffer.byteLength(value);
    if (length > maxBytes) {
      throw malformed(`text of ${length} bytes exceeds the limit of ${maxBytes}`);
    }
    return length;
  }
  return {
    size(value) {
      const length = lengthOf(value);
      return varint.size(length) + length;
    },
    encode(stream, value) {
      varint.encode(stream, lengthOf(value));
      writeText(stream, value);
    },
    decode: (stream) => readText(stream, varint.decode(stream), maxBytes),
  };
}

function writeText(stream: EncodeStream, value: string): void {
  const { buffer } = stream;
  const target = Buffer.isBuffer(buffer)
    ? buffer
    : Buffer.from(buffer.buffer, buffer.byteOffset, buffer.byteLength);
  stream.pos += target.write(value, stream.pos);
}

function readText(stream: DecodeStream, length: number, maxBytes: number): string {
  if (length > maxBytes) {
    throw malformed(`text of ${length} bytes exceeds the limit of ${maxBytes}`);
  }
  const bytes = readBytes(stream, length);
  if (!isUtf8(bytes)) {
    throw malformed('text is not UTF-8');
  }
  return bytes.toString('utf8');
}

/** An IP address. A canonical IPv4 address is a length of 0 and four bytes; any other is encoded as text. */
export const ipAddress: FieldType<string> = {
  size: (value) => (isCanonicalIpv4(value) ? 1 + IPV4_BYTES : shortText.size(value)),
  encode(stream, value) {
    if (!isCanonicalIpv4(value)) {
      if (value === '') {
        throw malformed('empty address');
      }
      shortText.encode(stream, value);
      return;
    }
    varint.encode(stream, 0);
    stream.writeBuffer(Buffer.from(value.split('.').map(Number)));
  },
  decode(stream) {
    const length = varint.decode(stream);
    if (length === 0) {
      return readBytes(stream, IPV4_BYTES).join('.');
    }
    return readText(stream, length, MAX_SHORT_TEXT_BYTES);
  },
};

function isCanonicalIpv4(value: string): boolean {
  return CANONICAL_IPV4.test(value);
}

/** Text of an identity, a zone, a region or a slot. */
export const shortText: FieldType<string> = text(MAX_SHORT_TEXT_BYTES);

/** A digest of `length` bytes, represented in memory as lower-case hexadecimal digits. */
export function hexDigest(length: number): FieldType<string> {
  return {
    size: () => length,
    encode(stream, value) {
      const bytes = Buffer.from(value, 'hex');
      if (bytes.length !== length || value.length !== length * 2) {
        throw malformed(`expected a digest of ${length * 2} hexadecimal digits`);
      }
      stream.writeBuffer(bytes);
    },
    decode: (stream) => readBytes(stream, length).toString('hex'),
  };
}

/** Raw bytes of a fixed length. */
export function fixedBytes(length: number): FieldType<Buffer> {
  return {
    size: () => length,
    encode(stream, value) {
      if (value.length !== length) {
        throw malformed(`got ${value.length} bytes, expected ${length}`);
      }
      stream.writeBuffer(value);
    },
    decode: (stream) => Buffer.from(readBytes(stream, length)),
  };
}

/** One of `values`, encoded as its index. The index of a value must never change. */
export function oneOf<T extends string | boolean>(values: readonly T[]): FieldType<T> {
  return {
    size: () => 1,
    encode(stream, value) {
      const position = values.indexOf(value);
      if (position < 0) {
        throw malformed(`${value} is not one of ${values.join(', ')}`);
      }
      stream.writeUInt8(position);
    },
    decode(stream) {
      const value = values[stream.readUInt8()];
      if (value === undefined) {
        throw malformed(`expected one of ${values.join(', ')}`);
      }
      return value;
    },
  };
}

/** A list prefixed with its item count. The count must not exceed the number of bytes left. */
export function list<T>(item: FieldType<T>): FieldType<readonly T[]> {
  return {
    size: (values) =>
      values.reduce((sum, value) => sum + item.size(value), varint.size(values.length)),
    encode(stream, values) {
      varint.encode(stream, values.length);
      for (const value of values) {
        item.encode(stream, value);
      }
    },
    decode(stream) {
      const count = varint.decode(stream);
      if (count > stream.length - stream.pos) {
        throw malformed(`item count ${count} exceeds the ${stream.length - stream.pos} bytes left`);
      }
      const values: T[] = [];
      while (values.length < count) {
        values.push(item.decode(stream));
      }
      return values;
    },
  };
}

type NamedField = readonly [name: string, type: FieldType<unknown>];

/**
 * A struct of consecutive fields, decoded to a plain object. The library's own structs support pointers, for
 * which they compute each size twice, and non-enumerable references to their parents, which cost more than the
 * fields of a short message.
 */
export class PlainStruct<T extends object> extends Struct<T> {
  private readonly namedFields: readonly NamedField[];

  constructor(fields: { readonly [K in keyof T]: FieldType<T[K]> }) {
    super(fields);
    this.namedFields = Object.entries(fields);
  }

  override size(value: T): number {
    const values = value as Readonly<Record<string, unknown>>;
    let bytes = 0;
    for (const [name, type] of this.namedFields) {
      bytes += type.size(values[name]);
    }
    return bytes;
  }

  override encode(stream: EncodeStream, value: T): void {
    const values = value as Readonly<Record<string, unknown>>;
    for (const [name, type] of this.namedFields) {
      type.encode(stream, values[name]);
    }
  }

  /** Omits fields that decode to undefined. */
  override decode(stream: DecodeStream): T {
    const values: Record<string, unknown> = {};
    for (const [name, type] of this.namedFields) {
      const value = type.decode(stream);
      if (value !== undefined) {
        values[name] = value;
      }
    }
    return values as T;
  }
}

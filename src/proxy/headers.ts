/**
 * Header lists in the format of Node's `rawHeaders`: names and values, alternating. Lists are
 * copied once per hop and never converted to objects.
 */

/** Prefix of headers between nodes; never accepted from callers or endpoints. */
export const INTERNAL_HEADER_PREFIX = 'ferryspool-';

export type HeaderList = readonly string[];

/** Hop-by-hop headers (RFC 9110, 7.6.1) and framing headers, which are set anew for each hop. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Returns the end-to-end headers of the message: without hop-by-hop headers, headers that
 * `Connection` nominates, headers between nodes, and those in `dropped` (lower-case names).
 */
export function messageHeaders(raw: HeaderList, dropped: ReadonlySet<string>): string[] {
  const nominated = nominatedByConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lowerName = name.toLowerCase();
    const isDropped =
      CONNECTION_HEADERS.has(lowerName) ||
      dropped.has(lowerName) ||
      lowerName.startsWith(INTERNAL_HEADER_PREFIX) ||
      nominated?.has(lowerName) === true;
    if (!isDropped) {
      kept.push(name, raw[index + 1] ?? '');
    }
  }
  return kept;
}

/** Whether the header concerns one connection only and is set anew for each hop. */
export function isConnectionHeader(name: string): boolean {
  return CONNECTION_HEADERS.has(name.toLowerCase());
}

/** The first value of the header `lowerName`, or undefined. */
export function headerValue(raw: HeaderList, lowerName: string): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    if (name.length === lowerName.length && name.toLowerCase() === lowerName) {
      return raw[index + 1];
    }
  }
  return undefined;
}

/** Parses a non-negative integer of at most 12 digits; returns undefined for any other text. */
export function parseMilliseconds(text: string | undefined): number | undefined {
  if (text === undefined || !/^[0-9]{1,12}$/.test(text)) {
    return undefined;
  }
  return Number(text);
}

/**
 * Returns the lower-case names listed in `Connection`, except `host`, which every request needs.
 */
function nominatedByConnection(raw: HeaderList): Set<string> | undefined {
  let nominated: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const value = raw[index + 1] ?? '';
    if (
      name.length !== 10 ||
      name.toLowerCase() !== 'connection' ||
      isStandardConnectionValue(value)
    ) {
      continue;
    }
    nominated ??= new Set();
    for (const option of value.split(',')) {
      nominated.add(option.trim().toLowerCase());
    }
    nominated.delete('host');
  }
  return nominated;
}

function isStandardConnectionValue(value: string): boolean {
  return value === 'keep-alive' || value === 'close';
}

/** What another writer may put into the store: any bytes, any JSON text, and valid items with changes. */
import fc from 'fast-check';

/** Names of fields and positions that lead to a value. */
type ValuePath = readonly (string | number)[];

/** What takes the place of a field; absent where the field is left out. */
interface Replacement {
  readonly value?: unknown;
}

const replacement: fc.Arbitrary<Replacement> = fc.oneof(
  fc.constant({}),
  fc
    .oneof(
      fc.jsonValue({ maxDepth: 2 }),
      fc.constantFrom<unknown>(0, -1, 0.5, 1e300, 99_999, '', 'ready', 'x:1', [], {}, null, true),
      fc.constant('y'.repeat(400)),
    )
    .map((value) => ({ value })),
);

/** `item` with one to three of its fields replaced or left out. */
export function changedItem(item: unknown): fc.Arbitrary<unknown> {
  const paths = pathsOf(item);
  const change = fc.tuple(fc.constantFrom(...paths), replacement);
  return fc
    .array(change, { minLength: 1, maxLength: 3 })
    .map((changes) => changes.reduce((current, [path, to]) => replaced(current, path, to), item));
}

/** Bytes that are no valid item, or seldom one. */
export function foreignBytes(items: readonly unknown[]): fc.Arbitrary<Buffer> {
  const changed = items.map((item) => changedItem(item).map(bytesOf));
  return fc.oneof(
    fc.uint8Array({ maxLength: 60 }).map((bytes) => Buffer.from(bytes)),
    fc.json().map((text) => Buffer.from(text)),
    fc.string({ unit: 'binary', maxLength: 40 }).map((text) => Buffer.from(text)),
    fc.nat(3_000).map((depth) => Buffer.from('['.repeat(depth) + ']'.repeat(depth))),
    fc.constant(Buffer.from('x'.repeat(20_000))),
    ...changed,
    ...changed,
  );
}

function bytesOf(item: unknown): Buffer {
  return Buffer.from(JSON.stringify(item) ?? '');
}

function pathsOf(value: unknown, path: ValuePath = []): ValuePath[] {
  if (typeof value !== 'object' || value === null) {
    return [path];
  }
  const isList = Array.isArray(value);
  const below = Object.entries(value).flatMap(([name, member]) =>
    pathsOf(member, [...path, isList ? Number(name) : name]),
  );
  return [path, ...below];
}

function replaced(value: unknown, path: ValuePath, to: Replacement): unknown {
  const [name, ...rest] = path;
  if (name === undefined) {
    return to.value;
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  const copy = (Array.isArray(value) ? [...(value as unknown[])] : { ...value }) as Record<
    string | number,
    unknown
  >;
  const member = replaced(copy[name], rest, to);
  if (member === undefined) {
    delete copy[name];
  } else {
    copy[name] = member;
  }
  return copy;
}

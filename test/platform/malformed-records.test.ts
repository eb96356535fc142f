/**
 * Items of the store that another writer made: fields missing or of another type, states that are none,
 * bytes that are no text. Such entries were taken for endpoints, with `NaN`, `undefined` or text where the
 * product expects numbers, and an unknown state for draining; requests then went to addresses that are none.
 *
 * Each has to be refused, with the field, what was there and what was expected.
 */
import { expect } from 'chai';
import { createRecordReader } from '../../platform/records.js';
import { platformConfiguration } from './fixtures.js';

const readRecord = createRecordReader({ retryBudgetPercent: 20, regionOfZone: () => 'r1' });

/** Where a valid item is changed, as a path of names, and to what; undefined leaves the field out. */
interface Change {
  readonly at: string;
  readonly to: unknown;
}

/** An item that is changed, and how the fault shows. */
interface Row extends Change {
  /** Where the fault is told to be; `at` unless it says otherwise. */
  readonly path?: string;
  readonly found: string;
}

function validEntry(): unknown {
  return {
    address: '10.1.0.8:8080',
    info: { service: 'a', version: 'v1', zone: 'z1', slots: 9 },
    status: { state: 'ready', sequence: 4, coldRemainingS: 0.5 },
  };
}

/** `item` with one field set, or left out. */
function changed(item: unknown, { at, to }: Change): unknown {
  const names = at.split('.');
  const last = names.pop() ?? '';
  let holder = item as Record<string, unknown>;
  for (const name of names) {
    holder = holder[name] as Record<string, unknown>;
  }
  if (to === undefined) {
    delete holder[last];
  } else {
    holder[last] = to;
  }
  return item;
}

const ENTRY_ROWS: readonly Row[] = [
  { at: 'address', to: undefined, found: 'nothing' },
  { at: 'address', to: 8080, found: '8080' },
  { at: 'address', to: '10.1.0.8', found: '"10.1.0.8"' },
  { at: 'address', to: '10.1.0.8:', found: '"10.1.0.8:"' },
  { at: 'address', to: '10.1.0.8:99999', found: '"10.1.0.8:99999"' },
  { at: 'address', to: '10.1.0.8:0', found: '"10.1.0.8:0"' },
  { at: 'address', to: '10.1.0.8:80:90', found: '"10.1.0.8:80:90"' },
  { at: 'address', to: '10.1.0.8:0x50', found: '"10.1.0.8:0x50"' },
  { at: 'address', to: '10.1.0.800:80', found: '"10.1.0.800:80"' },
  { at: 'address', to: 'some host:80', found: '"some host:80"' },
  { at: 'info', to: undefined, found: 'nothing' },
  { at: 'info', to: 'none', found: '"none"' },
  { at: 'info', to: [1], found: 'a list' },
  { at: 'info.service', to: undefined, found: 'nothing' },
  { at: 'info.service', to: ['a'], found: 'a list' },
  { at: 'info.service', to: '', found: '""' },
  { at: 'info.zone', to: undefined, found: 'nothing' },
  { at: 'info.zone', to: 1, found: '1' },
  { at: 'info.version', to: undefined, found: 'nothing' },
  { at: 'info.version', to: { major: 1 }, found: 'an object' },
  { at: 'info.slots', to: undefined, found: 'nothing' },
  { at: 'info.slots', to: '9', found: '"9"' },
  { at: 'info.slots', to: -1, found: '-1' },
  { at: 'info.slots', to: 0, found: '0' },
  { at: 'info.slots', to: 2.5, found: '2.5' },
  { at: 'info.slots', to: null, found: 'null' },
  { at: 'status', to: undefined, found: 'nothing' },
  { at: 'status', to: 'ready', found: '"ready"' },
  { at: 'status.state', to: undefined, found: 'nothing' },
  { at: 'status.state', to: 'resting', found: '"resting"' },
  { at: 'status.state', to: 'READY', found: '"READY"' },
  { at: 'status.state', to: true, found: 'true' },
  { at: 'status.sequence', to: undefined, found: 'nothing' },
  { at: 'status.sequence', to: 'four', found: '"four"' },
  { at: 'status.coldRemainingS', to: undefined, found: 'nothing' },
  { at: 'status.coldRemainingS', to: '0', found: '"0"' },
  { at: 'born', to: '1700000000000', found: '"1700000000000"' },
  { at: 'born', to: 1_700_000_000_000.5, found: '1700000000000.5' },
  { at: 'born', to: null, found: 'null' },
  { at: 'born', to: -1, found: '-1' },
];

const CONFIGURATION_ROWS: readonly Row[] = [
  { at: 'version', to: undefined, found: 'nothing' },
  { at: 'version', to: 12, found: '12' },
  { at: 'version', to: 'latest', found: '"latest"' },
  { at: 'services', to: {}, found: 'an object' },
  { at: 'services.0.name', to: undefined, found: 'nothing' },
  { at: 'limits', to: undefined, found: 'nothing' },
  { at: 'limits.maxHeaderBytes', to: '16384', found: '"16384"' },
  { at: 'limits.maxBodyBytes', to: -1, found: '-1' },
  { at: 'limits.headerTimeoutS', to: 0, found: '0' },
  { at: 'limits.idleTimeoutS', to: 0, found: '0' },
  { at: 'virtualHosts', to: 'all', found: '"all"' },
  { at: 'virtualHosts.0.hostname', to: 7, found: '7' },
  { at: 'virtualHosts.0.paths', to: undefined, found: 'nothing' },
  { at: 'virtualHosts.0.paths.0.name', to: undefined, found: 'nothing' },
  { at: 'virtualHosts.0.paths.0.pathPrefix', to: 'p', found: '"p"' },
  { at: 'virtualHosts.0.paths.0.kind', to: 1, found: '1' },
  { at: 'virtualHosts.0.paths.0.timeoutS', to: 'long', found: '"long"' },
  { at: 'virtualHosts.0.paths.0.timeoutS', to: -1, found: '-1' },
  { at: 'virtualHosts.0.paths.0.targetLatencyS', to: '1', found: '"1"' },
  { at: 'virtualHosts.0.paths.0.priority', to: 0.5, found: '0.5' },
  { at: 'virtualHosts.0.paths.0.maxAttempts', to: 0, found: '0' },
  { at: 'virtualHosts.0.paths.0.weightedTargets.1.weight', to: -5, found: '-5' },
  { at: 'virtualHosts.0.paths.0.weightedTargets.1.service', to: undefined, found: 'nothing' },
  { at: 'virtualHosts.0.paths.0.weightedTargets', to: [], found: 'a list' },
  { at: 'virtualHosts.1.paths.0.service', to: undefined, found: 'nothing' },
];

function expectRefused(record: unknown, path: string, found: string): void {
  expect(record).to.have.property('kind', 'unused');
  expect(record).to.have.nested.property('fault.path', path);
  expect(record).to.have.nested.property('fault.found', found);
  expect(record).to.have.nested.property('fault.expected').that.is.a('string').and.not.empty;
}

function label({ at, to }: Change): string {
  return `${at} ${to === undefined ? 'missing' : `= ${JSON.stringify(to)}`}`;
}

describe('entries of the store that are not valid', () => {
  for (const row of ENTRY_ROWS) {
    it(`name no endpoint: ${label(row)}`, () => {
      const record = readRecord('servers/i-1', JSON.stringify(changed(validEntry(), row)));
      expectRefused(record, row.path ?? row.at, row.found);
    });
  }

  for (const text of ['', '{', 'null', '[]', '7', '"text"', '\uFFFD', 'NaN', '{"address":}']) {
    it(`name no endpoint: the text ${JSON.stringify(text)}`, () => {
      const record = readRecord('servers/i-1', text);
      expect(record).to.have.nested.property('fault.path', '');
      expect(record).to.have.nested.property('fault.expected').that.is.a('string').and.not.empty;
    });
  }

  for (const key of ['servers/', 'servers/a b', 'servers/a\r\nb', 'servers/ü', 'servers/\u0000']) {
    it(`name no endpoint: the key ${JSON.stringify(key)}`, () => {
      expectRefused(
        readRecord(key, JSON.stringify(validEntry())),
        'key',
        JSON.stringify(key.slice('servers/'.length)),
      );
    });
  }

  it('name no endpoint when they are too long or too deep, and say so in short', () => {
    const long = JSON.stringify(changed(validEntry(), { at: 'note', to: 'x'.repeat(100_000) }));
    const deep = `{"address":${'['.repeat(500)}${']'.repeat(500)}}`;
    const aside = deep
      .replace('"address"', '"note"')
      .replace('{', `${JSON.stringify(validEntry()).slice(0, -1)},`);
    for (const text of [long, deep, aside]) {
      const record = readRecord('servers/i-1', text);
      expect(record).to.have.nested.property('fault.expected').that.is.a('string').and.not.empty;
      expect(JSON.stringify(record).length).to.be.below(400);
    }
  });

  it('are told in short, whatever was there', () => {
    const entry = changed(validEntry(), { at: 'status.state', to: 'x'.repeat(3_000) });
    const record = readRecord('servers/i-1', JSON.stringify(entry));
    expect(record).to.have.nested.property('fault.path', 'status.state');
    expect(JSON.stringify(record).length).to.be.below(400);
  });
});

describe('entries of the store that are valid', () => {
  it('are taken with further fields, and with the time of their start', () => {
    const entry = changed(validEntry(), { at: 'born', to: 1_700_000_000_000 });
    changed(entry, { at: 'info.rack', to: { row: [1, 2, { place: 'x' }] } });
    changed(entry, { at: 'colour', to: null });
    const record = readRecord('servers/i-1', JSON.stringify(entry));
    expect(record).to.have.nested.property('endpoint.spec.slots', 9);
    expect(record).to.have.nested.property('endpoint.spec.state', 'active');
  });
});

describe('configurations of the store that are not valid', () => {
  for (const row of CONFIGURATION_ROWS) {
    it(`are refused: ${label(row)}`, () => {
      const text = JSON.stringify(changed(platformConfiguration('0000001c'), row));
      expectRefused(readRecord('op/config', text), row.path ?? row.at, row.found);
    });
  }

  it('are refused when they are nested too deeply', () => {
    const text = `{"version":${'['.repeat(200_000)}${']'.repeat(200_000)}}`;
    expect(readRecord('op/config', text)).to.have.property('kind', 'unused');
  });
});

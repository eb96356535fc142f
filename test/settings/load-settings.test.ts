import { expect } from 'chai';
import { loadSettings, parseSettings } from '../../src/settings/load-settings.js';
import { parseDocumentText } from '../../src/settings/parse-document.js';
import { defaultSettings, REQUIRED_VALUE } from '../../src/settings/default-settings.js';
import { MASKED_VALUE, maskSecrets } from '../../src/settings/secret-settings.js';
import { SettingsError } from '../../src/settings/settings-error.js';

const FILE = 'node.yaml';
const SECRET = 'hunter2-hunter2-hunter2';
const BASE = `
machine: { id: m1, address: 10.0.0.1, zone: a, region: r }
fleetKey: ${SECRET}
`;

function load(text: string, overrides: Parameters<typeof loadSettings>[1] = []) {
  return loadSettings(FILE, overrides, () => text);
}

function loadError(
  text: string,
  overrides: Parameters<typeof loadSettings>[1] = [],
): SettingsError {
  try {
    load(text, overrides);
  } catch (error) {
    expect(error).to.be.instanceOf(SettingsError);
    return error as SettingsError;
  }
  throw new Error(`accepted: ${text}`);
}

describe('loadSettings', () => {
  it('fills in all defaults and the listener addresses', () => {
    const settings = load(BASE);
    expect(settings.callerAddress).to.equal('10.0.0.1');
    expect(settings.adminAddress).to.equal('10.0.0.1');
    expect(settings.ports).to.deep.equal({ caller: 8080, relay: 8081, control: 8082, admin: 8083 });
    expect(settings.lease).to.deep.equal({ durationMs: 6000, renewIntervalMs: 2000 });
    expect(settings.overlay.neighbours).to.equal(4);
    expect(settings.platform).to.equal(undefined);
  });

  it('accepts JSON, and flags take precedence over the file', () => {
    const json = JSON.stringify({
      machine: { id: 'm1', address: '::1', zone: 'a', region: 'r' },
      fleetKey: SECRET,
      ports: { caller: 1 },
    });
    const settings = load(json, [
      { path: 'ports.caller', value: 0 },
      { path: 'log.level', value: 'debug' },
    ]);
    expect(settings.ports.caller).to.equal(0);
    expect(settings.log.level).to.equal('debug');
    expect(settings.machine.address).to.equal('::1');
  });

  it('needs no file if flags provide all required settings', () => {
    const overrides = Object.entries({ id: 'm', address: '10.0.0.2', zone: 'z', region: 'r' }).map(
      ([name, value]) => ({ path: `machine.${name}`, value }),
    );
    const settings = loadSettings(undefined, [...overrides, { path: 'fleetKey', value: SECRET }]);
    expect(settings.machine.id).to.equal('m');
  });

  const refused: readonly (readonly [string, string, RegExp])[] = [
    ['invalid YAML', 'machine: [', /^node\.yaml: expected YAML or JSON; .* line 1/],
    ['a list', '[]', /^node\.yaml: expected a map of settings$/],
    ['an empty file', '', /^node\.yaml: expected a map/],
    ['a duplicate key', `${BASE}\nfleetKey: other-other-other`, /DUPLICATE_KEY at line 5/],
    [
      'an alias bomb',
      `a: &a [${'x,'.repeat(9)}]\nb: &b [${'*a,'.repeat(99)}]\nc: [${'*b,'.repeat(99)}]`,
      /aliases/,
    ],
    ['no machine', `fleetKey: ${SECRET}`, /^node\.yaml: machine: .*expected object/],
    ['a short key', BASE.replace(SECRET, 'short'), /^node\.yaml: fleetKey: .*>=16 characters$/],
    ['an unknown key', `${BASE}color: blue`, /^node\.yaml: color: no such setting$/],
    ['an unknown nested key', `${BASE}lease: { durationSecs: 3 }`, /lease\.durationSecs: no such/],
    ['a __proto__ key', `${BASE}__proto__: { a: 1 }`, /^node\.yaml: __proto__: no such setting$/],
    ['a host name', BASE.replace('10.0.0.1', 'localhost'), /machine\.address = "localhost": exp/],
    ['a high port', `${BASE}ports: { relay: 65536 }`, /ports\.relay = 65536: .*<=65535/],
    ['a fractional port', `${BASE}ports: { relay: 1.5 }`, /ports\.relay = 1\.5: .*int/],
    [
      'text instead of a number',
      `${BASE}lease: { durationMs: 6s }`,
      /lease\.durationMs = "6s": .*number/,
    ],
    ['NaN', `${BASE}lease: { durationMs: .nan }`, /lease\.durationMs/],
    ['a zero interval', `${BASE}overlay: { heartbeatIntervalMs: 0 }`, /IntervalMs = 0: .*>=1/],
    [
      'a renewal interval above the lease duration',
      `${BASE}lease: { renewIntervalMs: 9000 }`,
      /= 9000: expected less than/,
    ],
    [
      'a suspicion timeout below the heartbeat interval',
      `${BASE}overlay: { suspectAfterMs: 100 }`,
      /expected more than overlay\.h/,
    ],
    [
      'a death timeout below the suspicion timeout',
      `${BASE}overlay: { deadAfterMs: 4000 }`,
      /expected more than overlay\.susp/,
    ],
    [
      'an unknown log level',
      `${BASE}log: { level: loud }`,
      /log\.level = "loud": .*"error"\|"warn"/,
    ],
    [
      'an unsupported URL protocol',
      `${BASE}platform: { configurationUrl: "file:///x", machinesUrl: "http://10.0.0.9/m" }`,
      /platform\.configurationUrl = "file:.*: expected an http/,
    ],
    [
      'a seed without port',
      `${BASE}seeds: [{ address: 10.0.0.2 }]`,
      /seeds\.0\.controlPort: .*num/,
    ],
    ['a negative share', `${BASE}readerShares: { a: -1 }`, /readerShares\.a = -1: .*>=0/],
    ['a zone name with capitals', `${BASE}readerShares: { A: 1 }`, /readerShares\.A/],
    [
      'two listeners on one port',
      `${BASE}ports: { admin: 8081 }`,
      /ports\.admin = 8081: .*ports\.relay/,
    ],
    [
      'two listeners on one port of a configured address',
      `${BASE}callerAddress: 10.0.0.9\nadminAddress: 10.0.0.9\nports: { admin: 8080 }`,
      /ports\.admin = 8080: expected a port that is not ports\.caller/,
    ],
    [
      'a long value',
      BASE.replace('id: m1', `id: ${'x'.repeat(500)}`),
      /machine\.id = .{80}\.\.\.: /,
    ],
  ];
  for (const [description, text, message] of refused) {
    it(`rejects ${description} with file, path, value and expectation`, () => {
      expect(loadError(text).message).to.match(message);
    });
  }

  it('rejects a flag whose path passes through a setting that is not a section', () => {
    const error = loadError(`${BASE}seeds: []`, [{ path: 'seeds.x', value: 1 }]);
    expect(error.message).to.match(/seeds\.x: expected seeds to be a section/);
  });

  it('accepts one port on two addresses, and any number of zero ports', () => {
    const ports = 'ports: { caller: 0, relay: 0, control: 8082, admin: 8082 }';
    expect(load(`${BASE}adminAddress: 127.0.0.1\n${ports}`).ports.admin).to.equal(8082);
  });

  const leaks: readonly (readonly [string, string])[] = [
    ['a key that is too long', BASE.replace(SECRET, SECRET.repeat(50))],
    ['a misspelt key', `${BASE}fleetkey: ${SECRET}`],
    ['a key of another type', BASE.replace(SECRET, `[${SECRET}]`)],
    ['a private key in a broken section', `${BASE}tls: { keyPem: ${SECRET} }`],
    ['text instead of a section', `${BASE}tls: ${SECRET}`],
    ['a syntax error next to the key', `${BASE.trimEnd()}: {[ "${SECRET}`],
    ['a file that is plain text', SECRET],
  ];
  for (const [description, text] of leaks) {
    it(`prints no secret for ${description}`, () => {
      const error = loadError(text);
      expect(`${error.message} ${JSON.stringify(error.faults)} ${error.stack}`).not.to.contain(
        'hunter2',
      );
    });
  }
});

describe('maskSecrets', () => {
  it('masks secrets and preserves other settings', () => {
    const tls =
      '{ certificatePem: -----BEGIN C, keyPem: -----BEGIN K, authorityPem: -----BEGIN A }';
    const text = `${BASE}adminToken: ${SECRET}\ntls: ${tls}`;
    const masked = maskSecrets(parseSettings(FILE, parseDocumentText(text)));
    expect(JSON.stringify(masked)).not.to.match(/hunter2|BEGIN K/);
    expect(masked['fleetKey']).to.equal(MASKED_VALUE);
    expect(masked['machine']).to.deep.include({ id: 'm1' });
  });
});

describe('defaultSettings', () => {
  it('marks required settings and otherwise satisfies the schema', () => {
    const defaults = defaultSettings();
    expect(defaults['fleetKey']).to.equal(REQUIRED_VALUE);
    const machine = { id: 'm', address: '10.0.0.1', zone: 'z', region: 'r' };
    const platform = {
      ...(defaults['platform'] as object),
      configurationUrl: 'http://10.0.0.9/c',
      machinesUrl: 'http://10.0.0.9/m',
    };
    const settings = load(JSON.stringify({ ...defaults, machine, platform, fleetKey: SECRET }));
    expect(settings.platform).to.include({ pollIntervalMs: 500, requestTimeoutMs: 2000 });
    expect(settings.proxy).to.deep.equal(defaults['proxy']);
  });
});

/** Formats of the platform: records, settings, error answers, answers of back ends. */
import type { IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { createCallerProtocol } from '../../platform/caller-protocol.js';
import { ENDPOINT_PROTOCOL } from '../../platform/endpoint-protocol.js';
import { createRecordReader } from '../../platform/records.js';
import { readSettings } from '../../platform/settings-file.js';
import type { Call } from '../../src/proxy/call.js';
import {
  DeadlinePassedError,
  OverloadedError,
  RouteNotFoundError,
  TimedOutError,
  UnreachableError,
  type RequestError,
} from '../../src/proxy/request-error.js';
import type { Verdict } from '../../src/model/verdict.js';
import { SettingsError } from '../../src/settings/settings-error.js';
import { platformConfiguration, SETTINGS_TEXT } from './fixtures.js';

const readRecord = createRecordReader({ retryBudgetPercent: 20, regionOfZone: () => 'r1' });

describe('records of the platform', () => {
  it('reads routes, weights, limits and versions of a configuration', () => {
    const record = readRecord('op/config', JSON.stringify(platformConfiguration('0000001c')));
    expect(record).to.deep.include({ kind: 'configuration', number: 28 });
    expect(record).to.have.nested.property('callerLimits.idleTimeoutMs', 15_000);
    expect(record).to.have.nested.property('resources[2].spec.targets[1].weight', 10);
    expect(record).to.have.nested.property('resources[2].spec.timeoutMs', 1_200);
    expect(record).to.have.nested.property('resources[3].spec.repeatable', false);
  });

  /** Guards against a failed download that is not tried again. */
  it('lets requests of routes with large answers run more than once', () => {
    const text = JSON.stringify(platformConfiguration('1')).replace('"safe"', '"download"');
    const record = readRecord('op/config', text);
    expect(record).to.have.nested.property('resources[2].spec.repeatable', true);
    expect(record).to.have.nested.property('resources[2].spec.largeAnswers', true);
    expect(record).to.not.have.nested.property('resources[3].spec.largeAnswers');
  });

  it('reads an endpoint, its machine and its state', () => {
    const entry = {
      address: '10.1.0.8:8080',
      info: { service: 'a', version: 'v1', zone: 'z1', slots: 9 },
      status: { state: 'draining', sequence: 4, coldRemainingS: 0 },
    };
    const record = readRecord('servers/i-1', JSON.stringify(entry));
    expect(record).to.have.nested.property('endpoint.name', 'i-1');
    expect(record).to.have.nested.property('endpoint.spec.machine', '10.1.0.8');
    expect(record).to.have.nested.property('endpoint.spec.port', 8080);
    expect(record).to.have.nested.property('endpoint.spec.state', 'draining');
  });

  const bareEntry = {
    address: '10.1.0.8:8080',
    info: { service: 'a', version: 'v1', zone: 'z1', slots: 9 },
    status: { state: 'ready', sequence: 4, coldRemainingS: 0 },
  };

  it('reads when an endpoint was born, and nothing of it where it does not say', () => {
    const told = readRecord(
      'servers/i-1',
      JSON.stringify({ ...bareEntry, born: 1_796_000_000_123 }),
    );
    expect(told).to.have.nested.property('endpoint.spec.bornAtMs', 1_796_000_000_123);
    const untold = readRecord('servers/i-1', JSON.stringify(bareEntry));
    expect(untold).to.not.have.nested.property('endpoint.spec.bornAtMs');
  });

  for (const born of ['1796000000123', 1.5, -1, null, {}]) {
    it(`uses no endpoint that was born at ${JSON.stringify(born)}`, () => {
      const record = readRecord('servers/i-1', JSON.stringify({ ...bareEntry, born }));
      expect(record.kind).to.equal('unused');
      expect(record).to.have.nested.property('fault.path', 'born');
    });
  }

  for (const text of ['', '{', '{}', '[]', 'null', '{"virtualHosts":[{}]}']) {
    it(`says why it can't read ${JSON.stringify(text)}, and does not throw`, () => {
      const record = readRecord('op/config', text);
      expect(record.kind).to.equal('unused');
      expect(record).to.have.nested.property('fault.found').that.is.a('string');
      expect(record).to.have.nested.property('fault.expected').that.is.a('string');
    });
  }

  it('passes over keys that are of no concern', () => {
    expect(readRecord('other/key', 'x')).to.deep.equal({ kind: 'unused', fault: undefined });
  });
});

describe('settings file of the platform', () => {
  it('reads what a node needs', () => {
    const { node, store, service, regions } = readSettings(SETTINGS_TEXT, 'file');
    expect(node.caller).to.deep.equal({ address: '10.1.0.8', port: 8304 });
    expect(node.internalPorts).to.deep.equal({ first: 7620, last: 7635 });
    expect(node.drainTimeoutMs).to.equal(6_000);
    expect(node.retry).to.deep.equal({ percent: 20, fleetBurst: 62, windowMs: 10_000 });
    expect(store).to.deep.equal({ address: '10.200.1.7', port: 8309 });
    expect(service).to.equal('huvo11a');
    expect(regions.get('cr-central-b')).to.equal('cr-central');
  });

  it('passes over lines that it does not know', () => {
    expect(() => readSettings(`${SETTINGS_TEXT}\nnew.field=1\n\nnonsense`, 'file')).to.not.throw();
  });

  const faults = [
    { line: 'self.ip', value: undefined, path: 'self.ip' },
    { line: 'network.listenAddrs.inbound', value: '10.1.0.8', path: 'network.listenAddrs.inbound' },
    { line: 'terms.bounds.graceS', value: 'soon', path: 'terms.bounds.graceS' },
    { line: 'network.internalPortRange', value: '0,1', path: 'network.internalPortRange' },
  ];
  for (const { line, value, path } of faults) {
    it(`names ${line} when it is ${value ?? 'missing'}`, () => {
      const kept = SETTINGS_TEXT.split('\n').filter((text) => !text.startsWith(`${line}=`));
      const text = [...kept, ...(value === undefined ? [] : [`${line}=${value}`])].join('\n');
      expect(() => readSettings(text, 'file')).to.throw(SettingsError, path);
    });
  }
});

describe('answers of a node to the platform clients', () => {
  const protocol = createCallerProtocol('tiles');
  const rows: readonly { error: RequestError; verdict: Verdict; status: number }[] = [
    { error: new OverloadedError('full', 70), verdict: 'not-run', status: 503 },
    { error: new UnreachableError('gone', 70), verdict: 'not-run', status: 503 },
    { error: new DeadlinePassedError('late', 70), verdict: 'not-run', status: 503 },
    { error: new RouteNotFoundError('none'), verdict: 'not-run', status: 404 },
    { error: new OverloadedError('full', 70), verdict: 'may-have-run', status: 502 },
    { error: new TimedOutError('late'), verdict: 'may-have-run', status: 504 },
  ];
  for (const { error, verdict, status } of rows) {
    it(`tells ${error.code} under ${verdict} as ${status}`, () => {
      const answer = protocol.errorAnswer(error, verdict, 'id');
      expect(answer.status).to.equal(status);
      const retryAt = answer.headers.indexOf('Retry-After');
      expect(answer.headers[retryAt + 1]).to.equal(
        status === 503 ? '0.070' : 'Request-Id'.toLowerCase(),
      );
    });
  }

  it('names the service of the machine in place of what the client sent', () => {
    expect(protocol.droppedHeaders.has('caller-service')).to.equal(true);
    expect(protocol.addedHeaders).to.deep.equal(['caller-service', 'tiles']);
  });
});

describe('answers of the platform back ends', () => {
  const call = { headers: ['Request-Id', 'r1'] } as unknown as Call;

  function message(statusCode: number, headers: Record<string, string>): IncomingMessage {
    const rawHeaders = Object.entries(headers).flat();
    return { statusCode, headers, rawHeaders } as unknown as IncomingMessage;
  }

  const rows: readonly {
    name: string;
    status: number;
    headers: Record<string, string>;
    kind: string;
  }[] = [
    { name: 'signed', status: 200, headers: { 'server-signature': 's' }, kind: 'answer' },
    { name: 'failure', status: 500, headers: { 'server-signature': 's' }, kind: 'answer' },
    { name: 'unsigned success', status: 200, headers: {}, kind: 'malformed' },
    {
      name: 'of another request',
      status: 200,
      headers: { 'server-signature': 's', 'request-id': 'r2' },
      kind: 'malformed',
    },
    {
      name: 'encoded',
      status: 200,
      headers: { 'server-signature': 's', 'content-encoding': 'gzip' },
      kind: 'malformed',
    },
    { name: 'not executed', status: 503, headers: { 'not-executed': '1' }, kind: 'refused' },
    { name: 'plain 503', status: 503, headers: { 'server-signature': 's' }, kind: 'answer' },
    { name: 'of another back end', status: 421, headers: { 'instance-id': 'i' }, kind: 'refused' },
  ];
  for (const { name, status, headers, kind } of rows) {
    it(`takes an answer that is ${name} as ${kind}`, () => {
      expect(ENDPOINT_PROTOCOL.readAnswer(message(status, headers), call).kind).to.equal(kind);
    });
  }

  it('reads how long work takes at present, and the load without it if it is no usable number', () => {
    const loadOf = (text: string): unknown => {
      const headers = { 'server-signature': 's', 'server-load': text };
      const reading = ENDPOINT_PROTOCOL.readAnswer(message(200, headers), call);
      return reading.kind === 'answer' ? reading.load : undefined;
    };
    const load = { inFlight: 5, slots: 8, draining: false };
    expect(loadOf('3,2,8,250')).to.deep.equal({ ...load, slowness: { percent: 250, ageMs: 0 } });
    expect(loadOf('3,2,8,99999')).to.have.nested.property('slowness.percent', 2_000);
    for (const unusable of ['3,2,8', '3,2,8,', '3,2,8,x', '3,2,8,-1', '3,2,8,0']) {
      expect(loadOf(unusable), unusable).to.deep.equal(load);
    }
  });

  it('reads the load, and keeps it from the client', () => {
    const reading = ENDPOINT_PROTOCOL.readAnswer(
      message(200, { 'server-signature': 's', 'server-load': '3,2,8' }),
      call,
    );
    expect(reading).to.have.nested.property('load.inFlight', 5);
    expect(reading).to.have.nested.property('load.slots', 8);
    expect(reading).to.have.property('headers').that.deep.equals(['server-signature', 's']);
  });
});

/**
 * The platform's program as real processes: start, service, metrics, signals (those during the start too),
 * refused settings.
 */
import { execFileSync, spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { BackendStandIn } from '../../standins/store-platform/backend-stand-in.js';
import { platformConfiguration } from './fixtures.js';
import { addressOf, pause } from './platform-fleet.js';
import { StoreStandIn } from '../../standins/store-platform/store-stand-in.js';

const MAIN = new URL('../../platform/main.js', import.meta.url).pathname;
const CALLER_PORT = 21_404;
const RELAY_PORT = 21_400;
const READY_PORT = 21_402;
const BACKEND_PORT = 21_401;
const FIRST_INTERNAL_PORT = 21_420;
/** Time for an answer, in milliseconds. */
const ANSWER_MS = 5_000;
/** Signals that are sent, one after the other, while the program starts. */
const SIGNALS_AT_START = 10;
/** The grace time of the settings, and time for which a signal waits, in milliseconds. */
const GRACE_MS = 6_000;
const SIGNAL_WAITS_MS = 1_000;
/** Longer than a planned stop. */
const LONG_TIMEOUT_S = 9;

interface Program {
  readonly address: string;
  readonly process: ChildProcess;
  /** What it wrote to standard output and standard error. */
  readonly text: () => string;
}

function settingsText(address: string, storePort: number): string {
  return [
    `self.nodeName=${address}`,
    `self.ip=${address}`,
    'self.zone=z1',
    'self.region=r1',
    'self.service=b',
    `network.listenAddrs.inbound=${address}:${RELAY_PORT}`,
    `network.listenAddrs.outbound=${address}:${CALLER_PORT}`,
    `network.listenAddrs.ready=${address}:${READY_PORT}`,
    `network.internalPortRange=${FIRST_INTERNAL_PORT},${FIRST_INTERNAL_PORT + 9}`,
    'network.zones.z1=r1',
    `platform.platform.address=127.0.0.1:${storePort}`,
    'terms.bounds.graceS=6',
    'terms.bounds.retryBudgetRatio=0.2',
    'terms.bounds.budgetMinRetries=60',
    'terms.bounds.budgetWindowS=10',
  ].join('\n');
}

interface Answered {
  readonly status: number;
  readonly body: string;
}

/** Status 0 without a whole answer. */
function get(
  host: string,
  port: number,
  path: string,
  headers = {},
  timeoutMs = ANSWER_MS,
): Promise<Answered> {
  return new Promise((resolve) => {
    const signal = AbortSignal.timeout(timeoutMs);
    const request = http.get({ host, port, path, headers, agent: false, signal });
    request.on('error', () => resolve({ status: 0, body: '' }));
    request.on('response', (message) => {
      let body = '';
      message.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      message.on('error', () => undefined);
      message.on('close', () => {
        resolve({ status: message.complete ? (message.statusCode ?? 0) : 0, body });
      });
    });
  });
}

/** A configuration whose requests of h1 go to service b alone and may take that long. */
function configurationWithTimeout(timeoutS: number): unknown {
  const path = {
    name: 'r1',
    pathPrefix: '/p/',
    kind: 'safe',
    timeoutS,
    targetLatencyS: timeoutS,
    priority: 1,
    service: 'b',
    maxAttempts: 1,
  };
  return {
    ...(platformConfiguration('00000003') as object),
    virtualHosts: [{ hostname: 'h1.example', paths: [path] }],
  };
}

describe('the platform program', () => {
  let folder: string;
  let store: StoreStandIn;
  const programs: Program[] = [];
  const backends: BackendStandIn[] = [];

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'ferryspool-platform-'));
    store = await StoreStandIn.start();
    store.put('op/config', platformConfiguration('00000002'));
  });

  afterEach(() => {
    programs.splice(0).forEach(({ process }) => process.kill('SIGKILL'));
    backends.splice(0).forEach((backend) => backend.close());
    store.close();
    rmSync(folder, { recursive: true });
  });

  function start(address: string, text = settingsText(address, store.port)): Program {
    const file = join(folder, `${address}.conf`);
    writeFileSync(file, text);
    return startWith(address, file);
  }

  function startWith(address: string, file: string): Program {
    const child = spawn(process.execPath, [MAIN], {
      env: { ...process.env, FERRYSPOOL_CONFIG: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    const program = { address, process: child, text: () => output };
    programs.push(program);
    return program;
  }

  /** Resolves once it is so; rejects with what the program wrote when the program ends before. */
  async function until({ process, text }: Program, isSo: () => boolean): Promise<void> {
    while (!isSo()) {
      if (process.exitCode !== null || process.signalCode !== null) {
        throw new Error(`the program ended: ${text()}`);
      }
      await pause(10);
    }
  }

  async function startReady(address: string): Promise<Program> {
    const program = start(address);
    await until(program, () => program.text().includes('"node-started"'));
    while ((await get(address, READY_PORT, '/')).status !== 200) {
      await pause(20);
    }
    return program;
  }

  /** Sends the signal many times while the program reads its settings, which come through a pipe. */
  async function signalAtStart(address: string, signal: 'SIGHUP' | 'SIGTERM'): Promise<Program> {
    const pipe = join(folder, `${address}.conf`);
    execFileSync('mkfifo', [pipe]);
    const program = startWith(address, pipe);
    // Opens once the program has opened the other end.
    const writer = await open(pipe, 'w');
    for (let count = 0; count < SIGNALS_AT_START; count += 1) {
      program.process.kill(signal);
      await pause(10);
    }
    // Whatever reads the settings again finds a file.
    const file = `${pipe}.file`;
    writeFileSync(file, settingsText(address, store.port));
    renameSync(file, pipe);
    await writer.writeFile(settingsText(address, store.port)).catch(() => undefined);
    await writer.close();
    return program;
  }

  async function addBackend(address: string): Promise<void> {
    const backend = await BackendStandIn.start(`i-${address}`, address, BACKEND_PORT);
    backends.push(backend);
    store.put(`servers/${backend.id}`, {
      address: `${address}:${BACKEND_PORT}`,
      info: { service: 'b', version: 'v1', zone: 'z1', slots: 4 },
      status: { state: 'ready', sequence: 1, coldRemainingS: 0 },
    });
  }

  it('serves over two processes, tells its metrics, reads its settings again, and stops as planned', async () => {
    const [first, second] = [await startReady(addressOf(1)), await startReady(addressOf(2))];
    await addBackend(second.address);
    const headers = { Host: 'h2.example', 'Request-Id': 'q', 'Deadline-Ms': '1000' };
    let answered = await get(first.address, CALLER_PORT, '/q/1', headers);
    while (answered.status !== 200) {
      await pause(20);
      answered = await get(first.address, CALLER_PORT, '/q/1', headers);
    }
    expect(answered.body).to.equal('body q');
    const metrics = await get(first.address, FIRST_INTERNAL_PORT + 1, '/metrics');
    expect(metrics.body).to.include('ferryspool_requests_total');
    expect(metrics.body).to.match(/^ferryspool_request_seconds_count [1-9]/m);
    expect(metrics.body).to.match(/^ferryspool_configuration_number 2$/m);
    expect(metrics.body).to.match(/^ferryspool_store_connected 1$/m);
    const beside = await get(second.address, FIRST_INTERNAL_PORT + 1, '/metrics');
    expect(beside.body).to.match(/^ferryspool_endpoint_seconds_count [1-9]/m);
    expect(beside.body).to.match(/^ferryspool_relay_travel_seconds_count [1-9]/m);
    expect(metrics.body).to.match(/^ferryspool_relay_connect_seconds_count [1-9]/m);
    expect(metrics.body).to.match(/^ferryspool_event_loop_delay_seconds_count [1-9]/m);
    expect(metrics.body).to.match(/^ferryspool_(failure|relay_body)_seconds_count 0$/m);
    first.process.kill('SIGHUP');
    await until(first, () => first.text().includes('settings-read-again'));
    first.process.kill('SIGTERM');
    const [code] = (await once(first.process, 'close')) as [number];
    expect(code).to.equal(0);
    expect(first.text()).to.include('node-stopping').and.include('node-stopped');
  });

  it('goes on with its planned stop when it is told to stop again', async () => {
    const program = await startReady(addressOf(4));
    program.process.kill('SIGTERM');
    while (!program.text().includes('node-stopping')) {
      await pause(5);
    }
    program.process.kill('SIGTERM');
    const [code] = (await once(program.process, 'close')) as [number | null];
    expect([code, program.text().includes('node-stopped')]).to.deep.equal([0, true]);
  });

  /** Guards against a process that is killed since it counts its grace time from when it heard of the signal. */
  it('ends within its grace time though the signal waits for the processor', async () => {
    store.put('op/config', configurationWithTimeout(LONG_TIMEOUT_S));
    const program = await startReady(addressOf(7));
    await addBackend(program.address);
    const backend = backends[0] as BackendStandIn;
    const headers = { Host: 'h1.example', 'Request-Id': 'q', 'Deadline-Ms': '1000' };
    while ((await get(program.address, CALLER_PORT, '/p/1', headers)).status !== 200) {
      await pause(20);
    }
    backend.behaviour = () => undefined;
    const long = { ...headers, 'Request-Id': 'long', 'Deadline-Ms': '9000' };
    const answered = get(program.address, CALLER_PORT, '/p/2', long, 2 * GRACE_MS);
    await until(program, () => backend.arrivals.some(({ requestId }) => requestId === 'long'));
    program.process.kill('SIGSTOP');
    program.process.kill('SIGTERM');
    const signalledAtMs = performance.now();
    await pause(SIGNAL_WAITS_MS);
    program.process.kill('SIGCONT');
    const [code] = (await once(program.process, 'close')) as [number];
    expect(performance.now() - signalledAtMs).to.be.below(GRACE_MS);
    expect([code, (await answered).status]).to.deep.equal([0, 502]);
  }).timeout(3 * GRACE_MS);

  it('starts though it is told that its settings changed while it reads them', async () => {
    const program = await signalAtStart(addressOf(5), 'SIGHUP');
    await until(program, () => program.text().includes('"node-started"'));
    await until(program, () => program.text().includes('settings-read-again'));
  });

  it('ends at once, in order, when it is told to stop while it reads its settings', async () => {
    const program = await signalAtStart(addressOf(6), 'SIGTERM');
    if (program.process.exitCode === null && program.process.signalCode === null) {
      await once(program.process, 'close');
    }
    const { exitCode, signalCode } = program.process;
    expect([exitCode, signalCode, program.text()]).to.deep.equal([0, null, '']);
  });

  it('says what is wrong with its settings, and ends', async () => {
    const program = start(addressOf(3), `self.ip=${addressOf(3)}`);
    const [code] = (await once(program.process, 'close')) as [number];
    expect(code).to.equal(1);
    expect(program.text()).to.include('self.zone: expected a value');
  });
});

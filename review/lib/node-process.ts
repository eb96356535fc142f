/** The project's program on a loopback address, started with the command of the deploy file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { join } from 'node:path';

/** Delay after which the platform starts a process again that has ended, in milliseconds. */
const RESTART_MS = 300;
const READINESS_TIMEOUT_MS = 900;
export const PORTS = {
  inbound: 23_300,
  app: 23_301,
  ready: 23_302,
  outbound: 23_304,
  internal: 23_320,
} as const;
const INTERNAL_PORTS = 16;

export interface NodeOptions {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly zones: readonly string[];
  readonly service: string;
  /** Address and port of the store. */
  readonly store: string;
  /** Folder of the settings file. */
  readonly folder: string;
}

/** An end of the process that nobody had told it to make. */
export interface OwnEnd {
  readonly atMs: number;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

function runCommand(): { program: string; args: string[] } {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const [program = '', ...args] = (/^run = "(.*)"$/m.exec(text)?.[1] ?? '').split(' ');
  return { program, args };
}

export class NodeProcess {
  readonly ownEnds: OwnEnd[] = [];
  output = '';
  private readonly settingsPath: string;
  private child: ChildProcess | undefined;
  private isWanted = true;

  constructor(readonly options: NodeOptions) {
    this.settingsPath = join(options.folder, `${options.name}.conf`);
    writeFileSync(this.settingsPath, settingsText(options));
  }

  start(): void {
    const { program, args } = runCommand();
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, FERRYSPOOL_CONFIG: this.settingsPath };
    const child = spawn(program, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    this.child = child;
    const keep = (chunk: Buffer): void => {
      this.output += chunk.toString();
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      this.child = undefined;
      if (this.isWanted) {
        this.ownEnds.push({ atMs: Date.now(), code, signal });
        setTimeout(() => this.restart(), RESTART_MS);
      }
    });
  }

  end(): void {
    this.isWanted = false;
    this.child?.kill('SIGKILL');
  }

  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const request = http.get({
        host: this.options.ip,
        port: PORTS.ready,
        path: '/readiness',
        timeout: READINESS_TIMEOUT_MS,
      });
      request.on('response', (message) => {
        message.resume();
        resolve(message.statusCode === 200);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  private restart(): void {
    if (this.isWanted) {
      this.start();
    }
  }
}

function settingsText({ name, ip, zone, zones, service, store }: NodeOptions): string {
  const lines = [
    `self.nodeName=${name}`,
    'self.role=sidecar',
    'self.machineClass=sidecar',
    'self.serves=sidecar',
    `self.ip=${ip}`,
    `self.zone=${zone}`,
    'self.region=r1',
    'self.countsTowardTolerance=false',
    'self.isFirstStart=true',
    'self.limits.cpuShare=0.54',
    'self.limits.cpuCores=1',
    'self.limits.memoryMb=310',
    'self.limits.maxFds=4100',
    'self.limits.linkMbps=1000.0',
    'self.limits.diskMb=0',
    `self.appAddr=${ip}:${PORTS.app}`,
    `self.service=${service}`,
    `network.listenAddrs.inbound=${ip}:${PORTS.inbound}`,
    `network.listenAddrs.outbound=${ip}:${PORTS.outbound}`,
    `network.listenAddrs.ready=${ip}:${PORTS.ready}`,
    `network.internalPortRange=${PORTS.internal},${PORTS.internal + INTERNAL_PORTS - 1}`,
    'network.seeds=',
    ...zones.map((one) => `network.zones.${one}=r1`),
    'platform.discovery=platform',
    'platform.entryMode=local',
    'platform.heartbeatS=1.5',
    `platform.platform.address=${store}`,
    'platform.platform.form=read',
    'platform.platform.writesPerS=400',
    'platform.platform.readsPerS=2000',
    'platform.platform.historyS=20',
    'platform.platform.valueBytes=1048576',
    'platform.platform.minTtlS=1',
    'terms.contracts=base,drain,config,cost,retry,recover,platform',
    'terms.faultTolerance.machines=1',
    'terms.faultTolerance.zones=0',
    'terms.faultTolerance.regions=0',
    'terms.bounds.seedLagS=3',
    'terms.bounds.addrReuseS=2',
    'terms.bounds.contactS=3',
    'terms.bounds.ackTimeoutS=4',
    'terms.bounds.catchUpS=4',
    'terms.bounds.drainS=2',
    'terms.bounds.graceS=6',
    'terms.bounds.lossSlackS=0.2',
    'terms.bounds.configApplyS=2',
    'terms.bounds.rollbackSlackS=0.25',
    'terms.bounds.maxSkewS=5',
    'terms.bounds.retryBudgetRatio=0.2',
    'terms.bounds.budgetWindowS=10',
    'terms.bounds.budgetMinRetries=60',
    'terms.bounds.recoveryS=15',
  ];
  return `${lines.join('\n')}\n`;
}

/** Child processes of the tools: each is known by its id and ended before the tool ends. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

/** Lines of output kept for each child, for reports of failures. */
const MAX_KEPT_LINES = 40;

/** How a child ended. */
export interface ChildExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Thrown when a child ends before it has said what was expected of it. */
export class ChildFailedError extends Error {
  override readonly name = 'ChildFailedError';
  readonly code = 'CHILD_FAILED';
}

/** One Node.js program that runs as a child. */
export class Child {
  readonly exited: Promise<ChildExit>;
  private readonly lines: string[] = [];
  private readonly lineListeners = new Set<(line: string) => void>();
  /** After the exit, once all of its output has been taken. */
  readonly closed: Promise<void>;
  private exit: ChildExit | undefined;
  private isToldToEnd = false;

  constructor(
    readonly name: string,
    private readonly process: ChildProcess,
  ) {
    this.exited = once(process, 'exit').then(([code, signal]) => {
      this.exit = { code: code as number | null, signal: signal as NodeJS.Signals | null };
      return this.exit;
    });
    const streams: Promise<unknown>[] = [];
    for (const stream of [process.stdout, process.stderr]) {
      if (stream !== null) {
        const reader = createInterface({ input: stream });
        reader.on('line', (line) => this.takeLine(line));
        streams.push(once(reader, 'close'));
      }
    }
    this.closed = Promise.all([this.exited, ...streams]).then(() => undefined);
  }

  /** Whether it ended although nobody told it to. */
  get endedUnasked(): boolean {
    return !this.isRunning && !this.isToldToEnd;
  }

  /** Undefined when it could not be started. */
  get processId(): number | undefined {
    return this.process.pid;
  }

  get isRunning(): boolean {
    return this.exit === undefined;
  }

  /** The last lines of its output. */
  get output(): readonly string[] {
    return this.lines;
  }

  /** Sends a signal by process id; nothing happens when the child has ended. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) {
      this.isToldToEnd ||= signal === 'SIGTERM' || signal === 'SIGKILL';
      this.process.kill(signal);
    }
  }

  /** Tells `listener` of the last lines of its output and of every line from now on. */
  onLine(listener: (line: string) => void): void {
    this.lines.forEach(listener);
    this.lineListeners.add(listener);
  }

  /** The first line, past or to come, that `pick` makes something of. */
  async waitForLine<Result>(pick: (line: string) => Result | undefined): Promise<Result> {
    for (const line of this.lines) {
      const found = pick(line);
      if (found !== undefined) {
        return found;
      }
    }
    let listener: (line: string) => void = () => undefined;
    const found = new Promise<Result>((resolve) => {
      listener = (line) => {
        const result = pick(line);
        if (result !== undefined) {
          resolve(result);
        }
      };
      this.lineListeners.add(listener);
    });
    try {
      return await Promise.race([found, this.failOnExit()]);
    } finally {
      this.lineListeners.delete(listener);
    }
  }

  private async failOnExit(): Promise<never> {
    const { code, signal } = await this.exited;
    const output = this.lines.join('\n');
    throw new ChildFailedError(`${this.name} ended (${code ?? signal ?? ''}):\n${output}`);
  }

  private takeLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > MAX_KEPT_LINES) {
      this.lines.shift();
    }
    for (const listener of this.lineListeners) {
      listener(line);
    }
  }
}

/** All children of a tool. */
export class ChildGroup {
  private readonly children: Child[] = [];

  /** Starts a Node.js program; `env` is added to this process's variables. */
  start(
    name: string,
    program: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ): Child {
    const process_ = spawn(process.execPath, [program, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    const child = new Child(name, process_);
    this.children.push(child);
    return child;
  }

  /** Those that ended although nobody told them to. */
  endedUnasked(): Child[] {
    return this.children.filter((child) => child.endedUnasked);
  }

  /** Kills every child that still runs, without waiting. */
  killAll(): void {
    for (const child of this.children) {
      child.signal('SIGKILL');
    }
  }

  /** Kills every child that still runs and waits until all have ended. */
  async end(): Promise<void> {
    this.killAll();
    await Promise.all(this.children.map((child) => child.exited));
  }
}

/** Picks a line that is a JSON object; for {@link Child.waitForLine}. */
export function parseJsonLine(line: string): Record<string, unknown> | undefined {
  try {
    const value = JSON.parse(line) as unknown;
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
}

/** A back end that ends when it runs a crashing request, and is back at the same address after a while. */
import { once } from 'node:events';
import http from 'node:http';

/** How long a crashing request runs before its back end ends, in milliseconds. */
const CRASH_AFTER_MS = 40;
/** How long other requests run. */
const WORK_MS = 35;
/** How long a back end is down. */
const DOWN_MS = 2_000;
/** Ends the paths of crashing requests, before their number. */
const CRASHING_NAME = 'crash-';

/** Path of the crashing request of this number. */
export function crashingPath(number: number): string {
  return `/${CRASHING_NAME}${number}`;
}

/** One back end, from its start until {@link stop}. */
export class CrashBackend {
  /** Under which paths it ended, in order; `undefined` stands for an end without a request. */
  readonly ends: (string | undefined)[] = [];
  private server: http.Server | undefined;
  private isStopped = false;

  private constructor(
    readonly name: string,
    private readonly host: string,
    readonly port: number,
  ) {}

  static async start(name: string, host: string, port: number): Promise<CrashBackend> {
    const backend = new CrashBackend(name, host, port);
    await backend.listen();
    return backend;
  }

  /** Ends at once, and comes back; nothing happens while it is down. */
  async crash(path?: string): Promise<void> {
    const { server } = this;
    if (server === undefined) {
      return;
    }
    this.server = undefined;
    this.ends.push(path);
    server.close();
    server.closeAllConnections();
    await new Promise((resolve) => setTimeout(resolve, DOWN_MS));
    if (!this.isStopped) {
      await this.listen();
    }
  }

  stop(): void {
    this.isStopped = true;
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private async listen(): Promise<void> {
    const server = http.createServer((request, response) => {
      const path = request.url ?? '';
      const isCrashing = path.startsWith(`/${CRASHING_NAME}`);
      const act = (): void => {
        if (isCrashing) {
          void this.crash(path);
        } else {
          response.end('done');
        }
      };
      request.resume();
      setTimeout(act, isCrashing ? CRASH_AFTER_MS : WORK_MS);
    });
    server.listen(this.port, this.host);
    await once(server, 'listening');
    this.server = server;
  }
}

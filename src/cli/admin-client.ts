/** HTTP client of a node's resource API. */
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { AdminAnswerError, AdminConnectionError, errorBodySchema } from './admin-error.js';
import { UsageError, type CommandContext } from './command.js';
import { parseHostPort, type HostPort } from './host-port.js';

/** Environment variable for the admin address, below the flag `--address`. */
export const ADDRESS_VARIABLE = 'FERRYSPOOL_ADDRESS';
/** Environment variable for the token, below the flag `--token`. */
export const TOKEN_VARIABLE = 'FERRYSPOOL_TOKEN';
/** Silence after which a call is given up, in milliseconds. */
const ANSWER_TIMEOUT_MS = 30_000;
/** Largest answer that is read whole, in bytes. */
const MAX_ANSWER_BYTES = 268_435_456;
/** Longest line of a watch, in characters. */
const MAX_LINE_LENGTH = 1_048_576;
/** Errors that come before a request has left. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
]);

/** One call. */
export interface AdminCall {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
}

/** Calls one node; rejects with `AdminAnswerError` or `AdminConnectionError`. */
export class AdminClient {
  constructor(
    private readonly target: HostPort,
    private readonly token: string | undefined,
    private readonly interrupt: AbortSignal,
  ) {}

  /** The JSON body of a successful answer. */
  async call(call: AdminCall): Promise<unknown> {
    const response = await this.send(call);
    const text = await this.readText(call, response);
    if (response.statusCode !== 200) {
      throw answerError(call, text);
    }
    return parseJson(call, text);
  }

  /** Hands over each line of a successful answer; resolves at its end, rejects on an interrupt. */
  async stream(call: AdminCall, onLine: (line: string) => void): Promise<void> {
    const response = await this.send(call);
    if (response.statusCode !== 200) {
      throw answerError(call, await this.readText(call, response));
    }
    response.socket.setTimeout(0);
    let rest = '';
    try {
      for await (const chunk of response.setEncoding('utf8') as AsyncIterable<string>) {
        const lines = (rest + chunk).split('\n');
        rest = lines.pop() ?? '';
        lines.forEach(onLine);
        if (rest.length > MAX_LINE_LENGTH) {
          throw connectionError(call, `expected lines of at most ${MAX_LINE_LENGTH} characters`);
        }
      }
    } catch (error) {
      throw this.wrap(call, error);
    }
  }

  private send(call: AdminCall): Promise<IncomingMessage> {
    const { host, port } = this.target;
    const body = call.body === undefined ? undefined : JSON.stringify(call.body);
    const headers = {
      ...(this.token === undefined ? {} : { authorization: `Bearer ${this.token}` }),
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...call.headers,
    };
    const { method, path } = call;
    return new Promise((resolve, reject) => {
      const sent: ClientRequest = request(
        { host, port, method, path, headers, agent: false, signal: this.interrupt },
        resolve,
      );
      sent.setTimeout(ANSWER_TIMEOUT_MS, () => sent.destroy(new Error('no answer in time')));
      sent.on('error', (error) => reject(this.wrap(call, error)));
      sent.end(body);
    });
  }

  private async readText(call: AdminCall, response: IncomingMessage): Promise<string> {
    let text = '';
    try {
      for await (const chunk of response.setEncoding('utf8') as AsyncIterable<string>) {
        text += chunk;
        if (text.length > MAX_ANSWER_BYTES) {
          throw new Error(`expected an answer of at most ${MAX_ANSWER_BYTES} bytes`);
        }
      }
    } catch (error) {
      throw this.wrap(call, error);
    }
    return text;
  }

  private wrap(call: AdminCall, error: unknown): AdminConnectionError {
    if (error instanceof AdminConnectionError) {
      return error;
    }
    const reason = error instanceof Error ? error.message : String(error);
    const code = error instanceof Error && 'code' in error ? String(error.code) : '';
    const place = `${this.target.host}:${this.target.port}`;
    return connectionError(call, `${place}: ${reason}`, NOT_SENT_CODES.has(code));
  }
}

/** The client that flags and environment ask for; throws {@link UsageError}. */
export function createAdminClient({ flags, environment, interrupt }: CommandContext): AdminClient {
  const address = flags.address ?? environment[ADDRESS_VARIABLE];
  if (address === undefined) {
    throw new UsageError(`expected --address ip:port, or ${ADDRESS_VARIABLE}`);
  }
  const token = flags.token ?? environment[TOKEN_VARIABLE];
  return new AdminClient(parseHostPort('--address', address), token, interrupt);
}

function connectionError(call: AdminCall, message: string, notSent = false): AdminConnectionError {
  const mayHaveRun = call.method !== 'GET' && !notSent;
  return new AdminConnectionError(message, mayHaveRun ? 'may-have-run' : 'not-run');
}

function answerError(call: AdminCall, text: string): Error {
  const parsed = errorBodySchema.safeParse(parseJson(call, text));
  return parsed.success
    ? new AdminAnswerError(parsed.data)
    : connectionError(call, 'the answer is not one of a ferryspool node');
}

function parseJson(call: AdminCall, text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw connectionError(call, 'the answer is not one of a ferryspool node');
  }
}

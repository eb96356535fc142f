/** Reads the answers that come one behind the other on one connection. */

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const HEX_RADIX = 16;
/** Statuses from here on end the exchange; those below come before the answer. */
const LEAST_FINAL_STATUS = 200;

/** A whole answer. */
export interface ParsedAnswer {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  /** One byte a character. */
  readonly body: string;
}

/** The answer whose body is still arriving. */
interface OpenAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly pieces: string[];
  readonly isChunked: boolean;
  /** Bytes of the body, or of the chunk, that are still to come. */
  missingBytes: number;
}

/** The answers of one connection. Bytes that are no answer make {@link take} throw. */
export class AnswerParser {
  private unread = '';
  private open: OpenAnswer | undefined;

  /** Status of the answer that is still arriving; 0 when none is. */
  get openStatus(): number {
    return this.open?.status ?? 0;
  }

  /** Takes what has arrived; gives the answers that are whole by it, the oldest first. */
  take(bytes: Buffer): ParsedAnswer[] {
    this.unread += bytes.toString('latin1');
    const whole: ParsedAnswer[] = [];
    for (let next = this.next(); next !== undefined; next = this.next()) {
      if (next.status >= LEAST_FINAL_STATUS) {
        whole.push(next);
      }
    }
    return whole;
  }

  private next(): ParsedAnswer | undefined {
    this.open ??= this.readHead();
    const { open } = this;
    if (open === undefined || !(open.isChunked ? this.readChunks(open) : this.readBytes(open))) {
      return undefined;
    }
    this.open = undefined;
    return { status: open.status, headers: open.headers, body: open.pieces.join('') };
  }

  private readHead(): OpenAnswer | undefined {
    const end = this.unread.indexOf(HEAD_END);
    if (end < 0) {
      return undefined;
    }
    const [first = '', ...lines] = this.unread.slice(0, end).split(LINE_END);
    this.unread = this.unread.slice(end + HEAD_END.length);
    const [protocol, status] = first.split(' ');
    if (protocol !== 'HTTP/1.1') {
      throw new SyntaxError(`no answer: ${first}`);
    }
    const headers = new Map(lines.map(parseHeader));
    return {
      status: Number(status),
      headers,
      pieces: [],
      isChunked: headers.get('transfer-encoding') === 'chunked',
      missingBytes: Number(headers.get('content-length') ?? 0),
    };
  }

  /** Whether the body, or the chunk under way, is there whole. */
  private readBytes(open: OpenAnswer): boolean {
    const piece = this.unread.slice(0, open.missingBytes);
    this.unread = this.unread.slice(piece.length);
    open.missingBytes -= piece.length;
    open.pieces.push(piece);
    return open.missingBytes === 0;
  }

  private readChunks(open: OpenAnswer): boolean {
    while (this.readBytes(open)) {
      const head = /^(?:\r\n)?([0-9a-fA-F]+)\r\n/.exec(this.unread);
      if (head === null) {
        return false;
      }
      const sizeBytes = parseInt(head[1] ?? '', HEX_RADIX);
      if (sizeBytes === 0) {
        return this.readLastChunk(head[0].length);
      }
      this.unread = this.unread.slice(head[0].length);
      open.missingBytes = sizeBytes;
    }
    return false;
  }

  private readLastChunk(headBytes: number): boolean {
    const isWhole = this.unread.startsWith(LINE_END, headBytes);
    if (isWhole) {
      this.unread = this.unread.slice(headBytes + LINE_END.length);
    }
    return isWhole;
  }
}

function parseHeader(line: string): [name: string, value: string] {
  const colonAt = line.indexOf(':');
  return [line.slice(0, colonAt).toLowerCase(), line.slice(colonAt + 1).trim()];
}

/** What a request asks of the back end that runs it; it stands in the query of its target. */

const RADIX = 10;

/** The work, the answer and the calls that a request asks for. */
export interface WorkDemand {
  readonly workMs: number;
  /** Size of the answer's body: at least what names the request. */
  readonly answerBytes: number;
  /** Whether the answer tells no length before its body. */
  readonly isChunked: boolean;
  /** Calls that the back end makes through its own node, all together. */
  readonly calls: number;
}

/** The query that asks for it. */
export function demandQuery({ workMs, answerBytes, isChunked, calls }: WorkDemand): string {
  return `?work=${Math.round(workMs)}&answer=${Math.round(answerBytes)}&chunked=${Number(isChunked)}&calls=${calls}`;
}

/** What the target asks for; undefined when it asks for nothing. */
export function demandOf(target: string): WorkDemand | undefined {
  const queryAt = target.indexOf('?work=');
  if (queryAt < 0) {
    return undefined;
  }
  const query = new URLSearchParams(target.slice(queryAt));
  const read = (name: string): number => parseInt(query.get(name) ?? '0', RADIX);
  return {
    workMs: read('work'),
    answerBytes: read('answer'),
    isChunked: read('chunked') === 1,
    calls: read('calls'),
  };
}

/** The body of the answer to a request. */
export function answerBody(id: string, target: string): string {
  return `body ${id}`.padEnd(demandOf(target)?.answerBytes ?? 0, '.');
}

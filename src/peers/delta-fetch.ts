/** Fetches from a peer over HTTP: the changes after a revision, and other texts. */
import http from 'node:http';
import { boundResponse } from '../wire/bounded-response.js';
import { ProgressTimer, type ProgressTimeouts } from '../clock/progress-timer.js';
import type { FeedDelta } from './feed-delta.js';
import { decodeDelta, MAX_MESSAGE_LENGTH } from './feed-message.js';

/** Timeouts of a response. Without them, a response that never ends would block all further fetches. */
const FETCH_TIMEOUTS: ProgressTimeouts = { beginMs: 800, idleMs: 800 };
const OK_STATUS = 200;
/** Path prefix of the changes since a revision; the revision is appended. */
export const CHANGES_PATH = '/changes/';

/** The place of a text at a peer. */
export interface PeerResource {
  readonly host: string;
  readonly port: number;
  readonly path: string;
}

/** A whole response, or why there is none. */
export type FetchedText =
  | { readonly outcome: 'response'; readonly status: number; readonly text: string }
  /** No process listens there. */
  | { readonly outcome: 'refused' }
  /** The response is late, too long or broken. */
  | { readonly outcome: 'failed' };

/** Returns the changes after `revision` at a peer, or undefined if they can't be fetched. */
export async function fetchDelta(
  host: string,
  port: number,
  revision: number,
): Promise<FeedDelta | undefined> {
  const fetched = await fetchText({ host, port, path: `${CHANGES_PATH}${revision}` });
  return fetched.outcome === 'response' && fetched.status === OK_STATUS
    ? decodeDelta(fetched.text)
    : undefined;
}

/** Fetches a text from a peer; never rejects. */
export function fetchText(
  { host, port, path }: PeerResource,
  timeouts: ProgressTimeouts = FETCH_TIMEOUTS,
): Promise<FetchedText> {
  return new Promise((resolve) => {
    const request = http.get({ host, port, path, agent: false });
    boundResponse(request);
    const timer = new ProgressTimer(timeouts, () => request.destroy());
    request.on('error', (error: NodeJS.ErrnoException) => {
      resolve({ outcome: error.code === 'ECONNREFUSED' ? 'refused' : 'failed' });
    });
    request.on('close', () => {
      timer.end();
      resolve({ outcome: 'failed' });
    });
    request.on('response', (message) => {
      let text = '';
      timer.recordProgress();
      message.setEncoding('utf8');
      message.on('data', (chunk: string) => {
        timer.recordProgress();
        text += chunk;
        if (text.length > MAX_MESSAGE_LENGTH) {
          request.destroy();
        }
      });
      message.on('error', () => resolve({ outcome: 'failed' }));
      message.on('end', () => {
        resolve({ outcome: 'response', status: message.statusCode ?? 0, text });
      });
    });
  });
}

/** Fetches the changes after a revision from a peer. */
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

/** Returns the changes after `revision` at a peer, or undefined if they can't be fetched. */
export function fetchDelta(
  host: string,
  port: number,
  revision: number,
): Promise<FeedDelta | undefined> {
  return new Promise((resolve) => {
    const path = `${CHANGES_PATH}${revision}`;
    const request = http.get({ host, port, path, agent: false });
    boundResponse(request);
    const timer = new ProgressTimer(FETCH_TIMEOUTS, () => request.destroy());
    request.on('error', () => resolve(undefined));
    request.on('close', () => {
      timer.end();
      resolve(undefined);
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
      message.on('error', () => resolve(undefined));
      message.on('end', () => {
        resolve(message.statusCode === OK_STATUS ? decodeDelta(text) : undefined);
      });
    });
  });
}

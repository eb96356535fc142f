/**
 * Checks the heads of messages that a node passes on. Node's parser accepts heads that its writer throws on, such as a
 * status below 100, a space within a header name or a tab in a target, and an exception in a listener ends the process
 * with every request on it. Pure.
 */
import http from 'node:http';
import { isConnectionHeader, type HeaderList } from './headers.js';

/** Final answers have these statuses (RFC 9110, 15); lower ones are interim, and no others are defined. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
const METHODS: ReadonlySet<string> = new Set(http.METHODS);
/** A path without spaces and control characters. */
const TARGET_FORMAT = /^\/[\x21-\x7e\x80-\xff]*$/;

/** The part of a head that cannot be written. */
export type HeadFault = 'status' | 'header' | 'method' | 'target' | 'request-id';

/** A request line and headers, as sent to an endpoint. */
export interface RequestHead {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
}

/** The fault of an endpoint's answer whose head was parsed; undefined if there is none. */
export function answerHeadFault(status: number, rawHeaders: HeaderList): HeadFault | undefined {
  if (!isFinalStatus(status)) {
    return 'status';
  }
  return areHeadersWritable(rawHeaders) ? undefined : 'header';
}

/** The fault of an answer that another node relayed; its headers must exclude those of a connection. */
export function relayedAnswerFault(status: number, headers: HeaderList): HeadFault | undefined {
  return answerHeadFault(status, headers) ?? connectionHeaderFault(headers);
}

/** The fault of a request that another node relayed; undefined if there is none. */
export function relayedRequestFault(head: RequestHead): HeadFault | undefined {
  const { method, target, headers, requestId } = head;
  if (!METHODS.has(method) || method === 'CONNECT') {
    return 'method';
  }
  if (!isTargetWritable(target)) {
    return 'target';
  }
  if (!isHeaderWritable('request-id', requestId)) {
    return 'request-id';
  }
  return areHeadersWritable(headers) ? connectionHeaderFault(headers) : 'header';
}

/** Whether the status is one of a final answer. */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/** Whether a request may have the target, which must be a path. */
export function isTargetWritable(target: string): boolean {
  return TARGET_FORMAT.test(target);
}

/** Whether each name and each value can be written, by the rules of Node's own writer. */
export function areHeadersWritable(headers: HeaderList): boolean {
  if (headers.length % 2 !== 0) {
    return false;
  }
  for (let index = 0; index < headers.length; index += 2) {
    if (!isHeaderWritable(headers[index] ?? '', headers[index + 1] ?? '')) {
      return false;
    }
  }
  return true;
}

function isHeaderWritable(name: string, value: string): boolean {
  try {
    http.validateHeaderName(name);
    http.validateHeaderValue(name, value);
    return true;
  } catch {
    return false;
  }
}

function connectionHeaderFault(headers: HeaderList): HeadFault | undefined {
  const isPresent = headers.some((name, index) => index % 2 === 0 && isConnectionHeader(name));
  return isPresent ? 'header' : undefined;
}

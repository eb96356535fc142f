/** A request as the back end reads it, and whether it may start. */
import type { IncomingMessage } from 'node:http';
import type { ExecutionNames } from './execution-ledger.js';
import { drawWorkMs, type BackendSettings } from './backend-settings.js';

/** What a request asks for. */
export interface BackendCall {
  readonly names: ExecutionNames;
  readonly workMs: number;
  readonly answerBytes: number;
  /** Time that was left when the request arrived; Infinity when none is named. */
  readonly deadlineMs: number;
}

/** Why a request is refused before it starts. */
export type RefusalReason = 'draining' | 'shed' | 'slots' | 'cancelled' | 'deadline';

/** What decides whether a request may start. */
export interface AdmissionState {
  readonly draining: boolean;
  readonly inFlight: number;
  readonly slots: number;
  /** The request id was cancelled before it started. */
  readonly barred: boolean;
  /** The load shedder picked this request. */
  readonly shed: boolean;
  readonly deadlineMs: number;
}

/** The reason to refuse, or undefined when the request may start. */
export function refusalOf(state: AdmissionState): RefusalReason | undefined {
  if (state.barred) {
    return 'cancelled';
  }
  if (state.draining) {
    return 'draining';
  }
  if (state.deadlineMs <= 0) {
    return 'deadline';
  }
  if (state.shed) {
    return 'shed';
  }
  return state.inFlight >= state.slots ? 'slots' : undefined;
}

/** Reads a request's headers; what it does not name comes from `settings`. */
export function readCall(
  request: IncomingMessage,
  settings: BackendSettings,
  random: () => number,
  fallbackId: string,
): BackendCall {
  return {
    names: readNames(request, fallbackId),
    workMs: numberHeader(request, 'x-work-ms') ?? drawWorkMs(settings.work, random),
    answerBytes: numberHeader(request, 'x-answer-bytes') ?? settings.answerBytes,
    deadlineMs: numberHeader(request, 'x-deadline-ms') ?? Infinity,
  };
}

function readNames(request: IncomingMessage, fallbackId: string): ExecutionNames {
  const callId = textHeader(request, 'x-call-id');
  const idempotencyKey = textHeader(request, 'idempotency-key');
  return {
    requestId: textHeader(request, 'x-request-id') ?? fallbackId,
    ...(callId !== undefined && { callId }),
    ...(idempotencyKey !== undefined && { idempotencyKey }),
  };
}

function textHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function numberHeader(request: IncomingMessage, name: string): number | undefined {
  const text = textHeader(request, name);
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
}

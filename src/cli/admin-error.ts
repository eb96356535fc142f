/** Failures of calls to a node's resource API, with the exit code that each stands for. */
import { z } from 'zod';
import { API_ERROR_STATUS, type ApiErrorCode } from '../api/api-error.js';
import type { Verdict } from '../model/verdict.js';
import { ExitCode } from './exit-code.js';

const faultSchema = z.object({ path: z.string(), reason: z.string() });

/** An error answer, as far as it can be read. */
export const errorBodySchema = z.object({
  code: z.enum(Object.keys(API_ERROR_STATUS) as [ApiErrorCode, ...ApiErrorCode[]]),
  message: z.string(),
  verdict: z.enum(['not-run', 'may-have-run', 'ran']).optional(),
  faults: z.array(faultSchema).optional(),
  currentVersion: z.string().optional(),
});

type ErrorBody = z.infer<typeof errorBodySchema>;

const EXIT_CODES: Readonly<Record<ApiErrorCode, ExitCode>> = {
  MALFORMED_REQUEST: ExitCode.InternalError,
  TOKEN_REQUIRED: ExitCode.Unauthorized,
  TOKEN_REFUSED: ExitCode.Unauthorized,
  WRITES_DISABLED: ExitCode.Unauthorized,
  NOT_FOUND: ExitCode.NotFound,
  METHOD_NOT_ALLOWED: ExitCode.InternalError,
  REQUEST_TIMEOUT: ExitCode.Unreachable,
  LIST_AGAIN: ExitCode.ListAgain,
  PRECONDITION_FAILED: ExitCode.Conflict,
  BODY_TOO_LARGE: ExitCode.InvalidInput,
  URL_TOO_LONG: ExitCode.InternalError,
  UNSUPPORTED_MEDIA_TYPE: ExitCode.InternalError,
  EXPECTATION_FAILED: ExitCode.InternalError,
  INVALID_RESOURCE: ExitCode.InvalidInput,
  PRECONDITION_REQUIRED: ExitCode.InternalError,
  TOO_MANY_WATCHERS: ExitCode.Unreachable,
  HEADERS_TOO_LARGE: ExitCode.InternalError,
  INTERNAL_ERROR: ExitCode.InternalError,
  NOT_ACCEPTED: ExitCode.NotAccepted,
  NOT_HELD_YET: ExitCode.Unreachable,
  MAY_BE_ACCEPTED: ExitCode.MayBeAccepted,
};

/** The node answered with an error. */
export class AdminAnswerError extends Error {
  override readonly name = 'AdminAnswerError';
  readonly code: ApiErrorCode;
  readonly verdict: Verdict | undefined;

  constructor(body: ErrorBody) {
    const faults = (body.faults ?? []).map(({ path, reason }) => `\n  ${path}: ${reason}`);
    super(`${body.code}: ${body.message}${faults.join('')}`);
    this.code = body.code;
    this.verdict = body.verdict;
  }

  /** Exit code of a command that ends with this error. */
  get exitCode(): ExitCode {
    return this.verdict === 'may-have-run' ? ExitCode.MayBeAccepted : EXIT_CODES[this.code];
  }
}

/** No usable answer: the node is not there, or the connection broke. */
export class AdminConnectionError extends Error {
  override readonly name = 'AdminConnectionError';
  readonly code = 'NO_ANSWER';

  constructor(
    message: string,
    /** Whether the request may have been acted on. */
    readonly verdict: Verdict,
  ) {
    super(message);
  }

  /** Exit code of a command that ends with this error. */
  get exitCode(): ExitCode {
    return this.verdict === 'may-have-run' ? ExitCode.MayBeAccepted : ExitCode.Unreachable;
  }
}

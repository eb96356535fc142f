/** Errors that the resource API answers with. */
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { Verdict } from '../model/verdict.js';

/** Codes of the API's errors with their HTTP status; clients tell errors apart by code. */
export const API_ERROR_STATUS = {
  MALFORMED_REQUEST: 400,
  TOKEN_REQUIRED: 401,
  TOKEN_REFUSED: 403,
  WRITES_DISABLED: 403,
  NOT_FOUND: 404,
  METHOD_NOT_ALLOWED: 405,
  REQUEST_TIMEOUT: 408,
  LIST_AGAIN: 410,
  PRECONDITION_FAILED: 412,
  BODY_TOO_LARGE: 413,
  URL_TOO_LONG: 414,
  UNSUPPORTED_MEDIA_TYPE: 415,
  EXPECTATION_FAILED: 417,
  INVALID_RESOURCE: 422,
  PRECONDITION_REQUIRED: 428,
  TOO_MANY_WATCHERS: 429,
  HEADERS_TOO_LARGE: 431,
  INTERNAL_ERROR: 500,
  NOT_ACCEPTED: 503,
  NOT_HELD_YET: 503,
  MAY_BE_ACCEPTED: 504,
} as const;

/** Code of an API error. */
export type ApiErrorCode = keyof typeof API_ERROR_STATUS;

/** What may go with an error, beside code and message. */
export interface ApiErrorDetails {
  /** Whether the write may have been accepted; on every failed write. */
  readonly verdict?: Verdict;
  readonly faults?: readonly ConfigurationFault[];
  /** Version of the resource as it is; absent when there is none. */
  readonly currentVersion?: string;
  /** Time after which the request may be sent again. */
  readonly retryAfterMs?: number;
  /** Methods that the path knows. */
  readonly allowedMethods?: readonly string[];
}

/** The JSON body of an error answer. */
export interface ApiErrorBody extends Pick<
  ApiErrorDetails,
  'verdict' | 'faults' | 'currentVersion'
> {
  readonly code: ApiErrorCode;
  readonly message: string;
}

/** A request that is refused or failed. The message contains no secret. */
export class ApiError extends Error {
  override readonly name = 'ApiError';

  constructor(
    readonly code: ApiErrorCode,
    message: string,
    readonly details: ApiErrorDetails = {},
  ) {
    super(message);
  }

  /** The HTTP status of the answer. */
  get status(): number {
    return API_ERROR_STATUS[this.code];
  }

  /** The body of the answer. */
  toBody(): ApiErrorBody {
    const { verdict, faults, currentVersion } = this.details;
    return {
      code: this.code,
      message: this.message,
      ...(verdict === undefined ? {} : { verdict }),
      ...(faults === undefined ? {} : { faults }),
      ...(currentVersion === undefined ? {} : { currentVersion }),
    };
  }

  /** The same error about a write, with its verdict. */
  withVerdict(verdict: Verdict): ApiError {
    return new ApiError(this.code, this.message, { verdict, ...this.details });
  }
}

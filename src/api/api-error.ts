/** Error responses of the resource API. */
import type { ConfigurationFault } from '../model/configuration-error.js';
import type { Verdict } from '../model/verdict.js';

/** Error codes with their HTTP status; clients distinguish errors by code. */
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

export type ApiErrorCode = keyof typeof API_ERROR_STATUS;

/** Optional details of an error. */
export interface ApiErrorDetails {
  /** Whether the write may have been accepted; present on every failed write. */
  readonly verdict?: Verdict;
  readonly faults?: readonly ConfigurationFault[];
  /** Current version of the resource; absent if there is no such resource. */
  readonly currentVersion?: string;
  /** Time after which the request may be retried. */
  readonly retryAfterMs?: number;
  /** Methods that the path supports. */
  readonly allowedMethods?: readonly string[];
}

/** The JSON body of an error response. */
export interface ApiErrorBody extends Pick<
  ApiErrorDetails,
  'verdict' | 'faults' | 'currentVersion'
> {
  readonly code: ApiErrorCode;
  readonly message: string;
}

/** A refused or failed request. The message contains no secret. */
export class ApiError extends Error {
  override readonly name = 'ApiError';

  constructor(
    readonly code: ApiErrorCode,
    message: string,
    readonly details: ApiErrorDetails = {},
  ) {
    super(message);
  }

  /** The HTTP status of the response. */
  get status(): number {
    return API_ERROR_STATUS[this.code];
  }

  /** The body of the response. */
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

  /** Returns the same error with `verdict`, unless it already has one. */
  withVerdict(verdict: Verdict): ApiError {
    return new ApiError(this.code, this.message, { verdict, ...this.details });
  }
}

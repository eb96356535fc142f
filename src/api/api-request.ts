/** Parses requests to the resource API. Pure; throws {@link ApiError}. */
import { nameSchema, type ResourceKey, type ResourceKind } from '../model/resource.js';
import { ApiError } from './api-error.js';
import { parsePrecondition, type PreconditionHeaders } from './precondition-header.js';
import type { WritePrecondition } from './write-port.js';

/** Maximum length of a URL, in characters. */
export const MAX_URL_LENGTH = 2_048;

/** A parsed request. */
export type ApiRequest =
  | { readonly type: 'health' }
  | { readonly type: 'metrics' }
  | { readonly type: 'status' }
  | { readonly type: 'suspicions' }
  | { readonly type: 'release'; readonly fingerprint: string }
  | { readonly type: 'list'; readonly kind: ResourceKind }
  | { readonly type: 'watch'; readonly kind: ResourceKind; readonly from: string | undefined }
  | { readonly type: 'get'; readonly key: ResourceKey }
  | {
      readonly type: 'write';
      readonly kind: ResourceKind;
      readonly name: string;
      readonly deletes: boolean;
      readonly precondition: WritePrecondition;
    };

/** The parts of an HTTP request that determine the {@link ApiRequest}. */
export interface RequestLine {
  readonly method: string;
  readonly url: string;
  readonly headers: PreconditionHeaders;
}

/** Resource kind of each path segment. */
export const KIND_PATHS = {
  services: 'service',
  routes: 'route',
  endpoints: 'endpoint',
  secrets: 'secret',
  evacuations: 'evacuation',
} as const satisfies Record<string, ResourceKind>;

/** Path segment of the suspected requests. */
const SUSPICIONS_SEGMENT = 'suspicions';

/** Whether a method denotes a write, regardless of the path. */
export function isWriteMethod(method: string): boolean {
  return method !== 'GET' && method !== 'HEAD' && method !== 'OPTIONS';
}

export function parseApiRequest(request: RequestLine): ApiRequest {
  if (request.url.length > MAX_URL_LENGTH) {
    throw new ApiError('URL_TOO_LONG', `expected a URL of at most ${MAX_URL_LENGTH} characters`);
  }
  const { pathname, searchParams } = parseUrl(request.url);
  const [first = '', second = '', third, ...rest] = pathname.slice(1).split('/');
  if (rest.length > 0) {
    throw notFound(pathname);
  }
  const fixed = fixedRequest(pathname);
  if (fixed !== undefined) {
    requireMethod(request.method, ['GET']);
    requireParameters(searchParams, []);
    return fixed;
  }
  if (first === 'v1' && second === SUSPICIONS_SEGMENT) {
    requireParameters(searchParams, []);
    return suspicionRequest(request.method, third);
  }
  const kind = first === 'v1' ? kindOf(second) : undefined;
  if (kind === undefined) {
    throw notFound(pathname);
  }
  return third === undefined
    ? collectionRequest(request.method, kind, searchParams)
    : resourceRequest(request, kind, third, searchParams);
}

function parseUrl(url: string): URL {
  try {
    return new URL(url, 'http://node');
  } catch {
    throw new ApiError('MALFORMED_REQUEST', 'expected a URL');
  }
}

function fixedRequest(pathname: string): ApiRequest | undefined {
  switch (pathname) {
    case '/healthz':
      return { type: 'health' };
    case '/metrics':
      return { type: 'metrics' };
    case '/v1/status':
      return { type: 'status' };
    default:
      return undefined;
  }
}

function suspicionRequest(method: string, fingerprint: string | undefined): ApiRequest {
  if (fingerprint === undefined) {
    requireMethod(method, ['GET']);
    return { type: 'suspicions' };
  }
  requireMethod(method, ['DELETE']);
  return { type: 'release', fingerprint };
}

function kindOf(segment: string): ResourceKind | undefined {
  return Object.hasOwn(KIND_PATHS, segment)
    ? KIND_PATHS[segment as keyof typeof KIND_PATHS]
    : undefined;
}

function collectionRequest(
  method: string,
  kind: ResourceKind,
  parameters: URLSearchParams,
): ApiRequest {
  requireMethod(method, ['GET']);
  requireParameters(parameters, ['watch', 'from']);
  const watch = parameters.get('watch');
  const from = parameters.get('from') ?? undefined;
  if (watch === null) {
    if (from !== undefined) {
      throw new ApiError('MALFORMED_REQUEST', 'from: expected only with watch=1');
    }
    return { type: 'list', kind };
  }
  if (watch !== '1') {
    throw new ApiError('MALFORMED_REQUEST', 'watch: expected 1');
  }
  return { type: 'watch', kind, from };
}

function resourceRequest(
  { method, headers }: RequestLine,
  kind: ResourceKind,
  name: string,
  parameters: URLSearchParams,
): ApiRequest {
  requireMethod(method, ['GET', 'PUT', 'DELETE']);
  requireParameters(parameters, []);
  if (!nameSchema.safeParse(name).success) {
    throw new ApiError('MALFORMED_REQUEST', 'name: expected lower-case letters, digits, . _ -');
  }
  if (method === 'GET') {
    return { type: 'get', key: `${kind}/${name}` };
  }
  const precondition = parsePrecondition(headers);
  return { type: 'write', kind, name, deletes: method === 'DELETE', precondition };
}

function requireMethod(method: string, allowedMethods: readonly string[]): void {
  if (!allowedMethods.includes(method)) {
    const message = `expected ${allowedMethods.join(', ')}`;
    throw new ApiError('METHOD_NOT_ALLOWED', message, { allowedMethods });
  }
}

function requireParameters(parameters: URLSearchParams, allowed: readonly string[]): void {
  const names = [...parameters.keys()];
  const invalidName = names.find(
    (name, index) => !allowed.includes(name) || names.indexOf(name) < index,
  );
  if (invalidName !== undefined) {
    const expected =
      allowed.length === 0 ? 'expected none' : `expected ${allowed.join(', ')}, each once`;
    throw new ApiError('MALFORMED_REQUEST', `query parameters: ${expected}`);
  }
}

function notFound(pathname: string): ApiError {
  return new ApiError('NOT_FOUND', `no such path: ${pathname}`);
}

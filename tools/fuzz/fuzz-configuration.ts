/** Small source documents for fuzzing, good and bad, made from a number. */
import type { Publication } from './fuzz-command.js';

const SERVICE_NAMES = ['tiles', 'extracts', 'parcels'];

/** Resources of a valid document; equal `content` gives equal resources. */
export function validResources(content: number): unknown[] {
  const count = 1 + (content % SERVICE_NAMES.length);
  const withSecret = content % 2 === 1;
  const services = SERVICE_NAMES.slice(0, count).map((name) => service(name));
  const routes = SERVICE_NAMES.slice(0, count).map((name) => route(name, withSecret));
  const endpoints = SERVICE_NAMES.slice(0, count).map((name, index) =>
    endpoint(name, 8_000 + content * SERVICE_NAMES.length + index),
  );
  const secrets = withSecret
    ? [{ kind: 'secret', name: 'stamp', spec: { value: `value-${content}` } }]
    : [];
  return [...services, ...secrets, ...routes, ...endpoints];
}

/** Resources of a publication; bad kinds are refused by the platform's adapter. */
export function publishedResources(publication: Publication, content: number): unknown[] {
  const valid = validResources(content);
  switch (publication) {
    case 'dangling-route':
      return [...valid, { kind: 'route', name: 'astray', spec: { pathPrefix: '/', service: 'x' } }];
    case 'missing-secret':
      return [...valid, { ...route('tiles', true, 'lost'), name: 'astray' }];
    case 'malformed':
      return [...valid, { kind: 'service', name: 'Not A Name', spec: {} }];
    case 'next':
    case 'skip-numbers':
    case 'same-number':
    case 'split':
    case 'lower-number':
      return valid;
  }
}

function service(name: string): unknown {
  return { kind: 'service', name, spec: {} };
}

function route(name: string, withSecret: boolean, secret = 'stamp'): { kind: string } {
  const credential = withSecret ? { credential: { secret, header: 'authorization' } } : {};
  const spec = { pathPrefix: `/${name}`, service: name, ...credential };
  return { kind: 'route', name, spec } as { kind: string };
}

function endpoint(name: string, port: number): unknown {
  const place = { zone: 'zone-0', region: 'region-0', address: '10.1.0.1' };
  const spec = { service: name, port, slots: 20, maxConnections: 130, ...place };
  return { kind: 'endpoint', name: `${name}-0`, spec };
}

/** Reads the JSON body of a request, up to a size limit. */
import type { IncomingMessage } from 'node:http';
import { ApiError } from './api-error.js';

const JSON_MEDIA_TYPE = /^application\/json\s*(;|$)/i;

/** Returns the parsed body; rejects with {@link ApiError} if it is too large, truncated or not JSON. */
export async function readJsonBody(request: IncomingMessage, maxBytes: number): Promise<unknown> {
  requireJson(request.headers['content-type']);
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    throw bodyTooLarge(maxBytes);
  }
  const text = (await readBytes(request, maxBytes)).toString('utf8');
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new ApiError('MALFORMED_REQUEST', 'body: expected JSON');
  }
}

function requireJson(contentType: string | undefined): void {
  if (contentType !== undefined && !JSON_MEDIA_TYPE.test(contentType)) {
    throw new ApiError('UNSUPPORTED_MEDIA_TYPE', 'content-type: expected application/json');
  }
}

function readBytes(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  return new Promise((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        request.pause();
        reject(bodyTooLarge(maxBytes));
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', () => reject(bodyTruncated()));
    request.on('close', () => reject(bodyTruncated()));
  });
}

function bodyTooLarge(maxBytes: number): ApiError {
  return new ApiError('BODY_TOO_LARGE', `body: expected at most ${maxBytes} bytes`);
}

function bodyTruncated(): ApiError {
  return new ApiError(
    'MALFORMED_REQUEST',
    'body: the connection was closed before the body was complete',
  );
}

/**
 * Layout of replication messages: JSON text that is validated against a schema. These messages are rare and
 * sent only between a handful of voters, so binary layouts would save nothing.
 */
import type { FieldType } from 'restructure';
import type { ReplicationMessage } from '../replication/replication-message.js';
import { replicationMessageSchema } from '../replication/replication-message-schema.js';
import { text } from './field-types.js';
import { FrameError } from './frame-error.js';
import { MAX_FRAME_BYTES } from './frame-reader.js';

const jsonText = text(MAX_FRAME_BYTES);

/** A replication message; decoding throws {@link FrameError} `malformed`. */
export const replicationBody: FieldType<ReplicationMessage> = {
  size: (value) => jsonText.size(JSON.stringify(value)),
  encode: (stream, value) => {
    jsonText.encode(stream, JSON.stringify(value));
  },
  decode: (stream) => parseBody(jsonText.decode(stream)),
};

function parseBody(json: string): ReplicationMessage {
  let value: unknown;
  try {
    value = JSON.parse(json);
  } catch (cause) {
    throw new FrameError('malformed', 'replication body is not JSON', { cause });
  }
  const parsed = replicationMessageSchema.safeParse(value);
  if (!parsed.success) {
    const path = parsed.error.issues[0]?.path.join('.') ?? '';
    throw new FrameError('malformed', `replication body is invalid at "${path}"`);
  }
  return parsed.data;
}

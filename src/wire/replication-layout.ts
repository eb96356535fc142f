/**
 * Layout of the replication's messages: JSON text, checked against their schema. They are rare and go
 * among a handful of voters, so that a layout for each would save nothing.
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
    throw new FrameError('malformed', `replication body at "${path}"`);
  }
  return parsed.data;
}

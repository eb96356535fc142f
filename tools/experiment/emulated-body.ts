/** The body of an emulated request: its length alone, and the plan of the request that it belongs to. */
import type { Call } from '../../src/proxy/call.js';
import type { RequestBody } from '../../src/proxy/request-body.js';
import type { PlannedRequest } from './call-plan.js';

/** The body; it is held whole by the caller's node, so that it can be sent again. */
export class EmulatedBody implements RequestBody {
  readonly length: number;
  readonly isDeclared: boolean;
  readonly isBuffered = true;

  constructor(readonly request: PlannedRequest) {
    this.length = request.uploadBytes;
    this.isDeclared = this.length > 0;
  }

  isReplayable(): boolean {
    return true;
  }

  isComplete(): boolean {
    return true;
  }

  sendTo(): never {
    throw new Error('an emulated body is carried by the emulated relay');
  }
}

/** The plan of the request that an attempt belongs to. */
export function plannedOf({ body }: Call): PlannedRequest {
  if (body instanceof EmulatedBody) {
    return body.request;
  }
  throw new TypeError('the call is not an emulated one');
}

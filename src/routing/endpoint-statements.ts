/** The statements of all endpoints that a node has received answers from, by incarnation. */
import { incarnationOf } from '../model/incarnation.js';
import type { Endpoint } from '../model/resource.js';
import { EndpointStatement } from './endpoint-statement.js';

/** Number of statements from which those without effect are dropped, the oldest first. */
const MAX_STATEMENTS = 20_000;

/** The statements that one node knows. */
export class EndpointStatements {
  private readonly byIncarnation = new Map<string, EndpointStatement>();
  private readonly byEndpoint = new WeakMap<Endpoint, EndpointStatement>();

  /** The statement of the endpoint's incarnation; empty if none has been received. */
  of(endpoint: Endpoint): EndpointStatement {
    let statement = this.byEndpoint.get(endpoint);
    if (statement === undefined) {
      statement = this.ofIncarnation(incarnationOf(endpoint));
      this.byEndpoint.set(endpoint, statement);
    }
    return statement;
  }

  private ofIncarnation(incarnation: string): EndpointStatement {
    let statement = this.byIncarnation.get(incarnation);
    if (statement === undefined) {
      this.dropOldest();
      statement = new EndpointStatement();
      this.byIncarnation.set(incarnation, statement);
    }
    return statement;
  }

  private dropOldest(): void {
    if (this.byIncarnation.size < MAX_STATEMENTS) {
      return;
    }
    const [oldest] = this.byIncarnation;
    const [unneeded = oldest] = [...this.byIncarnation].filter(
      ([, { isLimited, isLeaving }]) => !isLimited && !isLeaving,
    );
    if (unneeded !== undefined) {
      this.byIncarnation.delete(unneeded[0]);
    }
  }
}

/** Serves a node's feed, which sends each change to the followers as soon as this node receives it. */
import type { ServerResponse } from 'node:http';
import type { StoreReplica } from '../store/store-replica.js';
import { encodeFeedMessage } from './feed-message.js';
import { FOLLOWERS_PER_NODE } from './reader-order.js';
import type { Freshness } from './source-choice.js';
import type { DeltaCache } from './delta-codec.js';

/** Maximum number of followers. Nodes whose feed failed may connect to a node with its planned share. */
const MAX_FOLLOWERS = 2 * FOLLOWERS_PER_NODE;
/**
 * Bytes buffered for one follower before its connection is closed, which bounds the memory that a slow
 * follower uses. Twice the full state of a large fleet.
 */
const MAX_BUFFERED_BYTES = 2 * 1024 * 1024;
const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;

/** Dependencies of a {@link ChangeFeed}. */
export interface ChangeFeedOptions {
  readonly replica: StoreReplica;
  readonly deltas: DeltaCache;
  readonly freshness: () => Freshness;
}

interface Follower {
  readonly response: ServerResponse;
  /** Revision up to which all changes have been sent to the follower. */
  revision: number;
}

/** The feed that one node serves. */
export class ChangeFeed {
  private readonly followers = new Set<Follower>();
  private isClosed = false;

  constructor(private readonly options: ChangeFeedOptions) {}

  get followerCount(): number {
    return this.followers.size;
  }

  /** Accepts or refuses a follower whose replica is complete up to `sinceRevision`. */
  subscribe(response: ServerResponse, sinceRevision: number): void {
    const isRefused = this.isClosed || this.followers.size >= MAX_FOLLOWERS;
    if (isRefused || this.options.replica.revision === 0) {
      response.writeHead(UNAVAILABLE_STATUS).end();
      return;
    }
    const follower: Follower = { response, revision: sinceRevision };
    this.followers.add(follower);
    response.on('close', () => this.followers.delete(follower));
    response.writeHead(OK_STATUS, { 'Content-Type': 'application/x-ndjson' });
    this.sendUpdate(follower);
  }

  /** Sends the current state to all followers. Call it whenever the state has changed or was confirmed. */
  publish(): void {
    for (const follower of this.followers) {
      this.sendUpdate(follower);
    }
  }

  /** Closes all feeds; the followers then choose other peers. */
  close(): void {
    this.isClosed = true;
    for (const { response } of this.followers) {
      response.destroy();
    }
  }

  private sendUpdate(follower: Follower): void {
    if (follower.response.writableLength > MAX_BUFFERED_BYTES) {
      follower.response.destroy();
      return;
    }
    follower.response.write(this.messageSince(follower.revision));
    follower.revision = Math.max(follower.revision, this.options.replica.revision);
  }

  private messageSince(sinceRevision: number): string {
    const { replica, deltas, freshness } = this.options;
    const isBehind = sinceRevision < replica.revision;
    return encodeFeedMessage(freshness(), isBehind ? deltas.since(sinceRevision) : undefined);
  }
}

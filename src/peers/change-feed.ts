/** Serves a node's feed: each follower is told what it lacks as soon as this node learns of it. */
import type { ServerResponse } from 'node:http';
import type { StoreReplica } from '../store/store-replica.js';
import { encodeFeedMessage } from './feed-message.js';
import { FOLLOWERS_PER_NODE } from './reader-order.js';
import type { Freshness } from './source-choice.js';
import type { DeltaTexts } from './told-delta.js';

/** Followers at most: nodes that lost theirs may come to one that has its share. */
const MAX_FOLLOWERS = 2 * FOLLOWERS_PER_NODE;
/**
 * Bytes that a follower may leave unread before it is cut, so that a slow one costs bounded memory: two
 * whole states of a large fleet.
 */
const MAX_UNREAD_BYTES = 2 * 1024 * 1024;
const OK_STATUS = 200;
const FULL_STATUS = 503;

/** What a feed needs of its node. */
export interface ChangeFeedOptions {
  readonly replica: StoreReplica;
  readonly deltas: DeltaTexts;
  readonly freshness: () => Freshness;
}

interface Follower {
  readonly response: ServerResponse;
  /** Revision up to which the follower was told everything. */
  revision: number;
}

/** The feed of one node. */
export class ChangeFeed {
  private readonly followers = new Set<Follower>();
  private isClosed = false;

  constructor(private readonly options: ChangeFeedOptions) {}

  get followerCount(): number {
    return this.followers.size;
  }

  /** Takes a follower whose replica is complete up to `sinceRevision`, or refuses it. */
  subscribe(response: ServerResponse, sinceRevision: number): void {
    const isRefused = this.isClosed || this.followers.size >= MAX_FOLLOWERS;
    if (isRefused || this.options.replica.revision === 0) {
      response.writeHead(FULL_STATUS).end();
      return;
    }
    const follower: Follower = { response, revision: sinceRevision };
    this.followers.add(follower);
    response.on('close', () => this.followers.delete(follower));
    response.writeHead(OK_STATUS, { 'Content-Type': 'application/x-ndjson' });
    this.tell(follower);
  }

  /** Tells all followers of the node's state; to be called when it changed or was confirmed. */
  publish(): void {
    for (const follower of this.followers) {
      this.tell(follower);
    }
  }

  /** Ends all feeds: followers turn to others. */
  close(): void {
    this.isClosed = true;
    for (const { response } of this.followers) {
      response.destroy();
    }
  }

  private tell(follower: Follower): void {
    if (follower.response.writableLength > MAX_UNREAD_BYTES) {
      follower.response.destroy();
      return;
    }
    follower.response.write(this.lineFor(follower.revision));
    follower.revision = Math.max(follower.revision, this.options.replica.revision);
  }

  private lineFor(sinceRevision: number): string {
    const { replica, deltas, freshness } = this.options;
    const isBehind = sinceRevision < replica.revision;
    return encodeFeedMessage(freshness(), isBehind ? deltas.since(sinceRevision) : undefined);
  }
}

/** Free slots that the owner of an endpoint offers to the nodes that it has refused for lack of capacity. */

/** A free slot of an endpoint. */
export interface SlotOffer {
  readonly offerId: number;
  readonly service: string;
  /** Name of the endpoint. */
  readonly endpoint: string;
}

/** A caller's node, as the owner of an endpoint reaches it. */
export interface SlotListener {
  /** Offers a slot; the answer is a request with the offer's id, or that the offer is declined. */
  slotOffered(offer: SlotOffer): void;
}

/** Request for a place among those that wait for a slot of an endpoint, if the endpoint has no capacity. */
export interface SlotWish {
  readonly listener: SlotListener;
  /** Until when the request would wait, on the node's clock. */
  readonly untilMs: number;
}

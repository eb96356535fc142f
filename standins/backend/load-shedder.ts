/** Picks an even share of requests to refuse. */
export class LoadShedder {
  private credit = 0;

  /** Whether this request is among the `percent` that are refused. */
  picks(percent: number): boolean {
    this.credit += percent / 100;
    if (this.credit < 1) {
      return false;
    }
    this.credit -= 1;
    return true;
  }
}

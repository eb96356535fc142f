/** Share of the recent answers of each class of work that report an endpoint error. Pure: time is passed in. */
import { DecayingCount } from '../routing/decaying-count.js';

/** Half-life of the weight of an answer, in milliseconds. */
const HALF_LIFE_MS = 1_000;
/** Answers without an error that are assumed in addition, so that a single error is no large share of few answers. */
const ASSUMED_ANSWERS = 5;
/** Maximum number of classes; beyond it, the one that was answered first is forgotten. */
const MAX_CLASSES = 1_000;

/** Recent answers of one class. */
class ClassAnswers {
  readonly all = new DecayingCount(HALF_LIFE_MS);
  readonly faults = new DecayingCount(HALF_LIFE_MS);
}

export class FaultShares {
  private readonly classes = new Map<string, ClassAnswers>();

  /** Records an answer of an endpoint. */
  record(workClass: string, isFault: boolean, nowMs: number): void {
    const answers = this.answersOf(workClass);
    answers.all.add(nowMs);
    if (isFault) {
      answers.faults.add(nowMs);
    }
  }

  /** The share of errors, from 0 to 1. */
  shareOf(workClass: string, nowMs: number): number {
    const answers = this.classes.get(workClass);
    return answers === undefined
      ? 0
      : answers.faults.at(nowMs) / (answers.all.at(nowMs) + ASSUMED_ANSWERS);
  }

  private answersOf(workClass: string): ClassAnswers {
    const known = this.classes.get(workClass);
    if (known !== undefined) {
      return known;
    }
    const answers = new ClassAnswers();
    this.classes.set(workClass, answers);
    if (this.classes.size > MAX_CLASSES) {
      const [first = ''] = this.classes.keys();
      this.classes.delete(first);
    }
    return answers;
  }
}

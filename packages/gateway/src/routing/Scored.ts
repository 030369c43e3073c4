/** Choice with its score; the lowest score is the best. */
export interface Scored<Choice> {
  readonly choice: Choice;
  readonly scoreMs: number;
}

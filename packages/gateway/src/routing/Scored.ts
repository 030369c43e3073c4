/** A choice with the figure by which choices are compared; the lower is the better. */
export interface Scored<Choice> {
  readonly choice: Choice;
  readonly scoreMs: number;
}

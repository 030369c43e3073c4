/** Resolves to true as soon as one item matches, or to false once none does. */
export function findAny<Item>(
  items: readonly Item[],
  matches: (item: Item) => Promise<boolean>,
): Promise<boolean> {
  return new Promise((resolve) => {
    const results = items.map(async (item) => {
      if (await matches(item)) {
        resolve(true);
      }
    });
    void Promise.all(results).then(() => resolve(false));
  });
}

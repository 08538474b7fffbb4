package dapplestair.client;

import dapplestair.filter.Filter;
import dapplestair.filter.FilterException;
import dapplestair.filter.Schema;
import picocli.CommandLine.Option;

/** The filter of a listing. */
final class FilterOption {
  @Option(names = "--where", paramLabel = "EXPR", description = "only those that it holds for")
  private String where;

  /** Its part of a query, or nothing. A mistake is shown here, before anybody is asked. */
  String query(Schema schema) throws CommandException {
    try {
      Filter.read(where, schema);
      return where == null || where.isBlank() ? "" : "&where=" + ClientCommand.encoded(where);
    } catch (FilterException e) {
      throw new CommandException(CommandException.WRONG_USAGE, "--where:\n" + e.annotate(where));
    }
  }
}

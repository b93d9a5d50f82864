package org.cowslipdale.daemon.adapter;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.DeclaredDocument;

/** What operators and backend servers ask of the fleet; may be called from any thread. */
public interface Operations {

  /**
   * Takes in an announcement of a backend server.
   *
   * @param announcement the announcement
   */
  void addAnnouncement(Announcement announcement);

  /**
   * Takes in that a backend server has left.
   *
   * @param server the name of the server
   */
  void markAsLeaving(String server);

  /**
   * Replaces the configuration if its version is higher than the present one.
   *
   * @param document the configuration as the operator sent it
   * @param configuration what it declares
   * @param keys the keys that it declares
   * @return completes with {@link ResultCode#OK} once it cannot be lost, or with the reason why it
   *     was refused or why its outcome is not known
   */
  CompletableFuture<ResultCode> replaceConfiguration(
      DeclaredDocument document, Configuration configuration, List<ApiKey> keys);

  /**
   * Returns the newest configuration document.
   *
   * @return completes with the document, or exceptionally if it cannot be confirmed that none is
   *     newer
   */
  CompletableFuture<DeclaredDocument> newestDocument();
}

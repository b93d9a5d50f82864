package org.cowslipdale.daemon.adapter;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.DeclaredDocument;

/** Operations that operators and backend servers request. Safe for use by several threads. */
public interface Operations {

  /**
   * Adds an announcement that a backend server sent to this VM.
   *
   * @param announcement the announcement
   */
  void addAnnouncement(Announcement announcement);

  /**
   * Marks a backend server as leaving after it has deregistered.
   *
   * @param server the name of the server
   */
  void markAsLeaving(String server);

  /**
   * Replaces the configuration if the version of the document is higher than the current one.
   *
   * @param document the configuration document as the operator sent it
   * @param configuration the configuration that the document declares
   * @param keys the API keys that the document declares
   * @return a future that completes with {@link ResultCode#OK} once the change cannot be lost any
   *     more, or with the reason why it was refused or why its outcome is unknown
   */
  CompletableFuture<ResultCode> replaceConfiguration(
      DeclaredDocument document, Configuration configuration, List<ApiKey> keys);

  /**
   * Evacuates a failure domain: nothing more is sent to its servers, and its primaries are
   * replaced. A repeated order is acknowledged again.
   *
   * @param failureDomain the name of the failure domain
   * @return a future that completes with {@link ResultCode#OK} once the order cannot be lost any
   *     more, with {@link ResultCode#NO_SUCH_OBJECT} if the failure domain is not known, or with
   *     the reason why the order was refused or why its outcome is unknown
   */
  CompletableFuture<ResultCode> beginEvacuation(String failureDomain);

  /**
   * Ends the evacuation of a failure domain; its servers get work again at once.
   *
   * @param failureDomain the name of the failure domain
   * @return as for {@link #beginEvacuation}
   */
  CompletableFuture<ResultCode> endEvacuation(String failureDomain);

  /**
   * Returns the newest configuration document.
   *
   * @return a future that completes with the document, or exceptionally if it cannot be confirmed
   *     that the document is the newest
   */
  CompletableFuture<DeclaredDocument> newestDocument();
}

package org.limpetvale.forward.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class CarriedRequestsTest {
  private static final List<String> NO_ID = List.of();
  private static final String UNKNOWN = "unknown";

  /** The names that a response may give, each id at most twice. */
  private static final List<String> NAMES = List.of("", "r-1", "r-2", "R-2", UNKNOWN);

  private final CarriedRequests requests = new CarriedRequests();

  private static HttpRequest request(HttpMethod method) {
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/");
  }

  private static HttpResponse response(int status) {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
  }

  private void add(String requestId) {
    requests.add(request(HttpMethod.POST), requestId);
  }

  private Attribution attribute(int status, String... ids) {
    return requests.attribute(response(status), List.of(ids));
  }

  /** Carries two requests, the first one answered. */
  private static CarriedRequests secondInProgress() {
    CarriedRequests requests = new CarriedRequests();
    requests.add(request(HttpMethod.POST), "r-1");
    requests.attribute(response(200), List.of("r-1"));
    requests.add(request(HttpMethod.POST), "r-2");
    return requests;
  }

  private static List<List<String>> allNamings() {
    List<List<String>> namings = new ArrayList<>(List.of(NO_ID));
    for (String first : NAMES) {
      namings.add(List.of(first));
      NAMES.forEach(second -> namings.add(List.of(first, second)));
    }
    return namings;
  }

  @Test
  void onlyAResponseThatNamesTheRequestAloneBelongsToItOnAConnectionWithEarlierOnes() {
    for (List<String> naming : allNamings()) {
      for (int status : List.of(200, 204, 304, 404, 421, 500, 503)) {
        Attribution attribution = secondInProgress().attribute(response(status), naming);
        if (naming.equals(List.of("r-2"))) {
          assertThat(attribution).isEqualTo(new Attribution.Current(true));
        } else if (naming.equals(List.of("r-1"))) {
          assertThat(attribution).isEqualTo(new Attribution.Earlier());
        } else {
          assertThat(attribution).isInstanceOf(Attribution.Unattributable.class);
        }
      }
    }
  }

  @Test
  void aConnectionIsGivenUpAfterAllButASuccessThatNamesItsRequest() {
    for (List<String> naming : allNamings()) {
      for (int status : List.of(200, 204, 304, 404, 421, 500, 503)) {
        CarriedRequests carried = secondInProgress();
        carried.attribute(response(status), naming);
        carried.attribute(response(200), List.of("r-2"));
        boolean answeredOnce = carried.mayCarryAnother() && carried.canAdd(HttpMethod.POST, "r-3");
        boolean isSuccess = status == 200 || status == 204;
        assertThat(answeredOnce).isEqualTo(isSuccess && naming.equals(List.of("r-2")));
      }
    }
  }

  @Test
  void aResponseWithoutAnIdBelongsToTheOnlyRequest() {
    add("r-1");
    assertThat(attribute(500)).isEqualTo(new Attribution.Current(false));
    assertThat(requests.mayCarryAnother()).isFalse();
  }

  @Test
  void anIdThatWasNeverSentIsUnattributableOnANewConnectionToo() {
    add("r-1");
    assertThat(attribute(200, UNKNOWN)).isInstanceOf(Attribution.Unattributable.class);
  }

  @Test
  void interimResponsesSayNothingOfTheFinalOne() {
    add("r-1");
    assertThat(attribute(100)).isEqualTo(new Attribution.Interim());
    assertThat(attribute(103, UNKNOWN)).isEqualTo(new Attribution.Interim());
    assertThat(attribute(200, "r-1")).isEqualTo(new Attribution.Current(true));
    assertThat(requests.mayCarryAnother()).isTrue();
  }

  @Test
  void aChangeOfProtocolIsUnattributable() {
    add("r-1");
    assertThat(attribute(101, "r-1")).isInstanceOf(Attribution.Unattributable.class);
    HttpResponse other =
        new DefaultHttpResponse(HttpVersion.valueOf("EDHTTP/1.1"), HttpResponseStatus.OK);
    assertThat(requests.attribute(other, List.of("r-1")))
        .isInstanceOf(Attribution.Unattributable.class);
  }

  @Test
  void aHeadRequestHasItsConnectionToItself() {
    assertThat(requests.canAdd(HttpMethod.HEAD, "r-1")).isTrue();
    requests.add(request(HttpMethod.HEAD), "r-1");
    assertThat(attribute(200, "r-1")).isEqualTo(new Attribution.Current(true));
    assertThat(requests.mayCarryAnother()).isFalse();
    assertThat(secondInProgress().canAdd(HttpMethod.HEAD, "r-3")).isFalse();
  }

  @Test
  void anIdIsCarriedOnceOnly() {
    assertThat(secondInProgress().canAdd(HttpMethod.POST, "r-1")).isFalse();
    assertThat(secondInProgress().canAdd(HttpMethod.POST, "r-2")).isFalse();
    assertThat(secondInProgress().canAdd(HttpMethod.POST, "")).isFalse();
    assertThat(secondInProgress().canAdd(HttpMethod.POST, "r-3")).isTrue();
  }
}

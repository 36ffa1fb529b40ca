/* Preloaded library that injects faults into system calls, such as the errors that Linux documents for them,
 * for tests of real processes.
 *
 * FAULT_SHIM_RULES: rules separated by ';', each "CALL ACTION SHARE MAX FROM_MS UNTIL_MS":
 *   CALL    socket bind listen accept connect recv send wait poll write sync clock
 *           (recv and send: reads and writes of sockets; write and sync: calls on files; clock: readings of
 *           the monotonic clock)
 *   ACTION  E<errno>: the call fails with this errno
 *           S: the call transfers at most one byte (writev: its first buffer; recvmsg, sendmsg: no effect)
 *           H<ms>: the calling thread stalls for this time before the call (clock: after the reading)
 *   SHARE   share of the calls that get the fault, 0 to 1
 *   MAX     maximum number of faults, 0 for no limit
 *   FROM_MS, UNTIL_MS  milliseconds since the start of the process between which the rule applies
 * FAULT_SHIM_CLOCK: steps of the wall clock separated by ';', each "AT_MS OFFSET_S": from AT_MS after the
 *   start of the process the wall clock is off by OFFSET_S seconds.
 * FAULT_SHIM_SEED: an integer that seeds the random draws.
 * FAULT_SHIM_TRACE: a file to which a line "MS CALL ACTION" is appended for each fault.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 32
#define MAX_CLOCK_STEPS 8

struct rule {
    char call[16];
    char action;
    int value;
    double share;
    long max_faults, fault_count, from_ms, until_ms;
};

struct clock_step {
    long at_ms, offset_s;
};

static struct rule rules[MAX_RULES];
static int rule_count;
static struct clock_step clock_steps[MAX_CLOCK_STEPS];
static int clock_step_count;
static uint64_t random_state;
static int64_t start_ms;
static int trace_fd = -1;
static int (*real_clock_gettime)(clockid_t, struct timespec *);

#define REAL(name) __typeof__(&name) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

static int64_t now_ms(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Draws from [0, 1) with xorshift64*. */
static double draw_uniform(void) {
    random_state ^= random_state >> 12;
    random_state ^= random_state << 25;
    random_state ^= random_state >> 27;
    return (double)((random_state * 0x2545F4914F6CDD1DULL) >> 11) / 9007199254740992.0;
}

static void parse_rules(const char *text) {
    char *copy = strdup(text), *position = NULL;
    for (char *part = strtok_r(copy, ";", &position); part && rule_count < MAX_RULES;
         part = strtok_r(NULL, ";", &position)) {
        struct rule *rule = &rules[rule_count];
        char action[16];
        if (sscanf(part, "%15s %15s %lf %ld %ld %ld", rule->call, action, &rule->share, &rule->max_faults,
                   &rule->from_ms, &rule->until_ms) != 6) {
            fprintf(stderr, "fault shim: invalid rule: %s\n", part);
            _exit(2);
        }
        rule->action = action[0];
        rule->value = atoi(action + 1);
        rule_count++;
    }
    free(copy);
}

static void parse_clock_steps(const char *text) {
    char *copy = strdup(text), *position = NULL;
    for (char *part = strtok_r(copy, ";", &position); part && clock_step_count < MAX_CLOCK_STEPS;
         part = strtok_r(NULL, ";", &position)) {
        struct clock_step *step = &clock_steps[clock_step_count];
        if (sscanf(part, "%ld %ld", &step->at_ms, &step->offset_s) == 2) clock_step_count++;
    }
    free(copy);
}

__attribute__((constructor)) static void initialize(void) {
    const char *text;
    real_clock_gettime = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    start_ms = now_ms();
    text = getenv("FAULT_SHIM_SEED");
    random_state = 0x9E3779B97F4A7C15ULL ^ (text ? strtoull(text, NULL, 10) * 0xD1342543DE82EF95ULL : 0);
    if (random_state == 0) random_state = 1;
    if ((text = getenv("FAULT_SHIM_TRACE")))
        trace_fd = open(text, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if ((text = getenv("FAULT_SHIM_CLOCK"))) parse_clock_steps(text);
    if ((text = getenv("FAULT_SHIM_RULES"))) parse_rules(text);
}

static void write_trace(const struct rule *rule, int64_t at_ms) {
    char line[64];
    int length = snprintf(line, sizeof line, "%lld %s %c%d\n", (long long)at_ms, rule->call, rule->action,
                          rule->value);
    REAL(write);
    if (trace_fd >= 0 && real(trace_fd, line, length) < 0) trace_fd = -1;
}

/* Applies the first rule that matches this call. Returns 0 to make the call as usual, -1 to fail (errno is
 * set), 1 to transfer at most one byte. */
static int inject_fault(const char *call) {
    for (int n = 0; n < rule_count; n++) {
        struct rule *rule = &rules[n];
        if (strcmp(rule->call, call) || (rule->max_faults && rule->fault_count >= rule->max_faults)) continue;
        int64_t at_ms = now_ms() - start_ms;
        if (at_ms < rule->from_ms || at_ms >= rule->until_ms || draw_uniform() >= rule->share) continue;
        rule->fault_count++;
        write_trace(rule, at_ms);
        if (rule->action == 'S') return 1;
        if (rule->action == 'H') {
            struct timespec stall = {rule->value / 1000, rule->value % 1000 * 1000000L};
            nanosleep(&stall, NULL);
            return 0;
        }
        errno = rule->value;
        return -1;
    }
    return 0;
}

static int is_socket(int fd) {
    struct stat status;
    return !fstat(fd, &status) && S_ISSOCK(status.st_mode);
}

/* Regular files, except standard streams and the trace. */
static int is_file(int fd) {
    struct stat status;
    return fd > 2 && fd != trace_fd && !fstat(fd, &status) && S_ISREG(status.st_mode);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return inject_fault("socket") < 0 ? -1 : real(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(bind);
    return inject_fault("bind") < 0 ? -1 : real(fd, address, length);
}

int listen(int fd, int backlog) {
    REAL(listen);
    return inject_fault("listen") < 0 ? -1 : real(fd, backlog);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    return inject_fault("accept") < 0 ? -1 : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return inject_fault("accept") < 0 ? -1 : real(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return inject_fault("connect") < 0 ? -1 : real(fd, address, length);
}

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    int fault = rule_count && is_socket(fd) ? inject_fault("recv") : 0;
    return fault < 0 ? -1 : real(fd, data, fault && size ? 1 : size);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    int fault = inject_fault("recv");
    return fault < 0 ? -1 : real(fd, data, fault && size ? 1 : size, flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    REAL(recvmsg);
    return inject_fault("recv") < 0 ? -1 : real(fd, message, flags);
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    int fault = 0;
    if (rule_count) fault = is_socket(fd) ? inject_fault("send") : is_file(fd) ? inject_fault("write") : 0;
    return fault < 0 ? -1 : real(fd, data, fault && size ? 1 : size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    int fault = 0;
    if (rule_count) fault = is_socket(fd) ? inject_fault("send") : is_file(fd) ? inject_fault("write") : 0;
    return fault < 0 ? -1 : real(fd, parts, fault ? 1 : count);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    REAL(send);
    int fault = inject_fault("send");
    return fault < 0 ? -1 : real(fd, data, fault && size ? 1 : size, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    return inject_fault("send") < 0 ? -1 : real(fd, message, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    return inject_fault("wait") < 0 ? -1 : real(fd, events, max_events, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    return inject_fault("wait") < 0 ? -1 : real(fd, events, max_events, timeout, mask);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    REAL(poll);
    return inject_fault("poll") < 0 ? -1 : real(fds, count, timeout);
}

int fsync(int fd) {
    REAL(fsync);
    return inject_fault("sync") < 0 ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return inject_fault("sync") < 0 ? -1 : real(fd);
}

static long wall_offset_s(void) {
    long offset = 0;
    int64_t at_ms = clock_step_count ? now_ms() - start_ms : 0;
    for (int n = 0; n < clock_step_count; n++)
        if (at_ms >= clock_steps[n].at_ms) offset = clock_steps[n].offset_s;
    return offset;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    if (!real_clock_gettime) initialize();
    int result = real_clock_gettime(clock, time);
    if (!result && clock == CLOCK_REALTIME) time->tv_sec += wall_offset_s();
    if (!result && clock == CLOCK_MONOTONIC && rule_count) {
        int saved_errno = errno;
        inject_fault("clock"); /* stalls after the reading, so that the caller gets an outdated time */
        errno = saved_errno;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    REAL(gettimeofday);
    int result = real(time, zone);
    if (!result && time) time->tv_sec += wall_offset_s();
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result) *result = now.tv_sec;
    return now.tv_sec;
}
